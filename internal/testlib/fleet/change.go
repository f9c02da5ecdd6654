package fleet

import (
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/wire/record"
)

// EncodeClassChange encodes a log record in which an operator sets the target of a class, based on the given revision.
func EncodeClassChange(target *record.ClassTarget, base uint64, changeID string) []byte {
	body, err := proto.Marshal(&record.ConfigRecord{Kind: &record.ConfigRecord_Change{Change: &record.ConfigChange{
		ChangeID: changeID, Name: target.Name, BaseRevision: base, Target: target, Operator: "test",
	}}})
	if err != nil {
		panic(err)
	}
	return body
}
