package claimer

import "testing"

// FuzzDecode decodes arbitrary row contents. What decodes must keep its state,
// nonce and holder when it is encoded and decoded again; a damaged row must not
// make its key claimable.
func FuzzDecode(f *testing.F) {
	f.Add(encode(Record{State: Claimed, Holder: "entry-1", Nonce: "n", Fingerprint: 7, Time: 9}))
	f.Add([]byte(`{"state":"released"}`))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, content []byte) {
		record, err := decode(content)
		if err != nil {
			return
		}
		again, err := decode(encode(record))
		if err != nil || again.State != record.State || again.Nonce != record.Nonce || again.Holder != record.Holder {
			t.Fatalf("%+v decoded again is %+v, error %v", record, again, err)
		}
	})
}
