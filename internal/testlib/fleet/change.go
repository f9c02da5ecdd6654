package fleet

import (
	"google.golang.org/protobuf/proto"

	"hazelslip/internal/wire/record"
)

// ChangeBody is a record that states a class.
func ChangeBody(target *record.ClassTarget, base uint64, changeID string) []byte {
	body, err := proto.Marshal(&record.ConfigRecord{Kind: &record.ConfigRecord_Change{Change: &record.ConfigChange{
		ChangeID: changeID, Name: target.Name, BaseRevision: base, Target: target, Operator: "test",
	}}})
	if err != nil {
		panic(err)
	}
	return body
}
