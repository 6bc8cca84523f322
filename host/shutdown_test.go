package host

import (
	"io"
	"net/http"
	"testing"
	"time"

	"tamarackcross/clock"
	"tamarackcross/duty"
	"tamarackcross/event"
	"tamarackcross/stats"
)

// TestControlShutdownAnswers guards against a planned stop of control that closes the connection
// of a request which it is about to answer.
func TestControlShutdownAnswers(t *testing.T) {
	accepted, addr := make(chan struct{}), unusedAddr(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(accepted)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "stored")
	})
	c, err := StartControl(Settings{
		Name: "core-0", Zone: "a", ControlAddr: addr, PeerAddr: unusedAddr(t), Bootstrap: true, DataDir: t.TempDir(), Succession: duty.Immediate,
	}, ControlDeps{
		Handler: func(Control) http.Handler { return handler }, Decode: decodeTestDocument, Now: clock.Now, Log: event.Nop(), Stats: stats.New(nil),
	})
	if err != nil {
		t.Fatal(err)
	}
	type result struct {
		body string
		err  error
	}
	answered := make(chan result, 1)
	go func() {
		resp, err := http.Get("http://" + addr)
		if err != nil {
			answered <- result{err: err}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		answered <- result{string(body), err}
	}()
	<-accepted
	c.Shutdown()
	if got := <-answered; got.err != nil || got.body != "stored" {
		t.Fatalf("got %q, %v", got.body, got.err)
	}
}
