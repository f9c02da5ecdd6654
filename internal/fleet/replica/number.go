package replica

// incarnationBits is how many low bits of a fencing number name the node that
// gave it. A server may accept a number equal to its highest, so two nodes must
// never give the same one.
const incarnationBits = 32

// NextNumber returns a fencing number above the highest that was seen, unique
// to the incarnation that gives it.
func NextNumber(highest, incarnation uint64) uint64 {
	return (highest>>incarnationBits+1)<<incarnationBits | incarnation&(1<<incarnationBits-1)
}
