package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sender"
)

const (
	cutPath   = "/cut"
	wholePath = "/whole"
)

// startCuttingUpstream serves raw connections. It sends the answer whole to wholePath, and the
// given number of its bytes to cutPath before it closes the connection.
func startCuttingUpstream(t *testing.T, answer string, bytesSent int) (address string) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if req.URL.Path == cutPath {
				_, _ = io.WriteString(conn, answer[:bytesSent])
				return
			}
			if _, err = io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return socket.Addr().String()
}

// TestAnswerCutInItsHeadIsNeverPassedOn guards against an upstream that stops anywhere in the
// head of its answer, or in what frames the body, and whose caller gets a success that looks
// complete.
func TestAnswerCutInItsHeadIsNeverPassedOn(t *testing.T) {
	const body = "id: 1\ndata: abcdefgh\n\n"
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: 1\r\n"
	for framing, answer := range map[string]string{
		"length":    fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks":    fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
		"no length": fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nId: 1\r\n\r\n%s", body),
	} {
		for _, stream := range []bool{false, true} {
			for _, reused := range []bool{false, true} {
				if reused && framing == "no length" {
					continue
				}
				t.Run(fmt.Sprintf("%s, stream %t, used connection %t", framing, stream, reused), func(t *testing.T) {
					t.Parallel()
					cuts := len(answer)
					if framing == "no length" {
						// Only a stream tells by itself that it lacks something.
						cuts = strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
					}
					for cut := range cuts {
						checkCutAnswer(t, answer, cut, stream, reused)
					}
				})
			}
		}
	}
}

func checkCutAnswer(t *testing.T, answer string, cut int, stream, reused bool) {
	t.Helper()
	u := []inventory.Upstream{{Name: "u", Address: startCuttingUpstream(t, answer, cut)}}
	f := &Forwarder{
		Source: &fixedSource{inventory.Config{Upstreams: u}}, Clock: clock.System{}, Reserver: &fixedSlots{upstreams: u},
		Sender: &sender.Sender{}, Protocol: taggedProtocol{}, Budget: &Budget{Daemons: func() int { return 1 }},
	}
	send := func(path string) (*httptest.ResponseRecorder, error) {
		recorder := httptest.NewRecorder()
		err := f.Handle(t.Context(), recorder, &classifier.Request{
			ID: "1", Method: http.MethodPost, Path: path, Stream: stream, MaxAttempts: 1, Deadline: clock.System{}.Now() + 10*clock.Second,
		})
		return recorder, err
	}
	if reused {
		if _, err := send(wholePath); err != nil {
			t.Fatalf("the whole answer: %v", err)
		}
	}
	if recorder, err := send(cutPath); err == nil {
		t.Errorf("an answer cut after %q is passed on as complete, with %q", answer[:cut], recorder.Body.String())
	}
}
