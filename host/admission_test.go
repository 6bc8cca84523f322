package host

import (
	"net/http"
	"testing"
	"time"

	"tamarackcross/clock"
	"tamarackcross/config"
	"tamarackcross/duty"
	"tamarackcross/event"
	"tamarackcross/roster"
	"tamarackcross/stats"
)

// TestAdmissionWithoutPromotions guards against backend servers of a synchronous service that are never admitted where
// control may not order promotions: nothing is promoted without them there.
func TestAdmissionWithoutPromotions(t *testing.T) {
	addr := unusedAddr(t)
	c, err := StartControl(Settings{
		Name: "core-0", Zone: "a", ControlAddr: unusedAddr(t), PeerAddr: addr, Seeds: []string{addr}, Bootstrap: true, DataDir: t.TempDir(), Succession: duty.Immediate,
	}, ControlDeps{
		Handler: func(Control) http.Handler { return http.NotFoundHandler() },
		Decode: func([]byte) (*config.Document, error) {
			return &config.Document{Version: 1, Services: map[string]config.Service{"svc": {Name: "svc", SyncReplicas: 1}}}, nil
		},
		Now: clock.Now, Log: event.Nop(), Stats: stats.New(nil),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := c.Put(t.Context(), 1, []byte("{}")); err != nil {
		t.Fatal(err)
	}
	e := roster.Entry{Service: "svc", ID: "m1", Born: 1, Seq: 1, Addr: "127.0.0.1:4000", Zone: "a", Slots: 1, Primary: true}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		err := c.Announce(t.Context(), e)
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}
