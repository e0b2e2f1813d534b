package sender_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"yuccaspread/daemon/sender"
)

// TestTargetIsSentAsItIs guards against a path or a query that an upstream gets in another form than
// the caller wrote it.
func TestTargetIsSentAsItIs(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	lines := make(chan string, 1)
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			line, _ := reader.ReadString('\n')
			for next := line; strings.TrimSpace(next) != "" && err == nil; {
				next, err = reader.ReadString('\n')
			}
			lines <- line
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			_ = conn.Close()
		}
	}()
	s := &sender.Sender{}
	for _, target := range []string{
		"/", "/a/b?c=d", "/a?", "/a%2Fb", "/a%2fb", "/a|b", "/a{b}", "/a\"b", "/a^b`", "/a:b@c;d,e", "/a//b", "//a/b", "/a/../b", "/ä", "/a?b|c={d}&?e", "/%41", "/a[1]",
	} {
		res, err := s.Send(t.Context(), sender.Call{Method: http.MethodPost, Address: socket.Addr().String(), Path: target, Host: "front.example", NewConnection: true})
		if err != nil {
			t.Errorf("%q: %v", target, err)
			continue
		}
		_ = res.Body.Close()
		if line := <-lines; line != "POST "+target+" HTTP/1.1\r\n" {
			t.Errorf("%q was sent as %q", target, line)
		}
	}
}
