package dialer

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"bluebelldoor"
)

// FuzzStream checks that, whatever events a target sends, tokens are delivered
// in order and without gaps.
func FuzzStream(f *testing.F) {
	f.Add("", "g.1", `{"id":"g","choices":[{"text":"x"}]}`)
	f.Add("end", "", `{"id":"g","tokens":0,"finish_reason":"stop"}`)
	f.Add("", "g.99999999999999999999", `{}`)
	f.Fuzz(func(t *testing.T, kind, id, data string) {
		next := 1
		s := streamValidator{id: "g", onToken: func(token bluebelldoor.Token) error {
			if token.Sequence != next {
				t.Fatalf("got token %d, want %d", token.Sequence, next)
			}
			next++
			return nil
		}}
		for range 2 {
			e := &sse.Event{}
			e.SetEvent(kind)
			e.SetID(id)
			e.SetData([]byte(data))
			if _, err := s.handle(e); err != nil {
				return
			}
		}
	})
}
