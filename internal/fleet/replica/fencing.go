package replica

// incarnationBits is the number of low bits of a fencing number that identify the node which created it. A server may
// accept a number equal to its highest, so two nodes must never create the same one.
const incarnationBits = 32

// NextNumber returns a fencing number above the highest one seen, unique to the given incarnation.
func NextNumber(highest, incarnation uint64) uint64 {
	return (highest>>incarnationBits+1)<<incarnationBits | incarnation&(1<<incarnationBits-1)
}
