package sender_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"yuccaspread/daemon/sender"
)

// strayServer answers each request by its id, and writes an answer without a body for another request before
// those whose id begins with "bad".
func strayServer(t *testing.T) (address string) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					id := req.Header.Get("Id")
					if strings.HasPrefix(id, "bad") {
						_, _ = io.WriteString(conn, "HTTP/1.1 503 Refused\r\nId: stray\r\nContent-Length: 0\r\n\r\n")
						time.Sleep(5 * time.Millisecond)
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
				}
			}()
		}
	}()
	return socket.Addr().String()
}

// TestStrayAnswerHarmsNoOtherRequest guards against a connection that is given to another request before the
// answer on it was found to be a stray one: that request is cut, or gets what was meant for the one before.
func TestStrayAnswerHarmsNoOtherRequest(t *testing.T) {
	address := strayServer(t)
	s := &sender.Sender{}
	send := func(id string) (*http.Response, error) {
		return s.Send(t.Context(), sender.Call{
			Method: http.MethodPost, Address: address, Path: "/", Header: http.Header{"Id": {id}}, Body: []byte("x"), RequestID: id,
		})
	}
	stop := make(chan struct{})
	var bad, sound sync.WaitGroup
	bad.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			res, err := send("bad" + strconv.Itoa(i)) //nolint:bodyclose // Abandon closes it.
			if err != nil {
				continue
			}
			// The decision on an answer takes its time on a busy VM.
			time.Sleep(time.Millisecond)
			sender.Abandon(res)
		}
	})
	for g := range 4 {
		sound.Go(func() {
			for i := range 300 {
				id := fmt.Sprint(g, "-", i)
				res, err := send(id)
				if err != nil {
					t.Errorf("%s: %v", id, err)
					continue
				}
				if got := res.Header.Get("Id"); got != id {
					t.Errorf("%s got the answer of %s", id, got)
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				time.Sleep(time.Millisecond)
			}
		})
	}
	sound.Wait()
	close(stop)
	bad.Wait()
}
