package main

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yuccaspread/common/inventory"
)

// selfSigned writes a certificate that signs itself and its key.
func selfSigned(t *testing.T) (cert, key string, pool *x509.CertPool) {
	secret, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	form := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, form, form, secret.Public(), secret)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(secret)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	cert, key = filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	content := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	if err = os.WriteFile(cert, content, 0o600); err != nil {
		t.Fatal(err)
	}
	if err = os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: rawKey}), 0o600); err != nil {
		t.Fatal(err)
	}
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(content)
	return cert, key, pool
}

// book sends a booking that continues the trace.
func (f *fleet) book(traceparent string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "https://127.0.0.1:"+f.ports["LISTEN_0"]+"/bookings", strings.NewReader("{}"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header = http.Header{"Authorization": {"Bearer " + callerToken}, "Idempotency-Key": {"k"}, "Traceparent": {traceparent}}
	res, err := f.secure.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if body, err := io.ReadAll(res.Body); err != nil || res.StatusCode != http.StatusOK {
		f.t.Fatalf("%s, %v: %s", res.Status, err, body)
	}
}

// spans returns the parent of each span that the daemon wrote of the trace.
func (f *fleet) spans(i int, trace string) (parents map[string]string) {
	content, err := os.ReadFile(filepath.Join(f.folder, fmt.Sprintf("daemon-%d.toml.log", i)))
	if err != nil {
		f.t.Fatal(err)
	}
	type ids struct{ TraceID, SpanID string }
	names := map[string]string{}
	over := map[string]string{}
	for line := range bytes.Lines(content) {
		var span struct {
			Name                string
			SpanContext, Parent ids
		}
		if json.Unmarshal(line, &span) == nil && span.SpanContext.TraceID == trace {
			names[span.SpanContext.SpanID] = span.Name
			over[span.Name] = span.Parent.SpanID
		}
	}
	parents = map[string]string{}
	for name, id := range over {
		parents[name] = id
		if names[id] != "" {
			parents[name] = names[id]
		}
	}
	return parents
}

func TestFleetWithTLSTracesARequest(t *testing.T) {
	seen := make(chan string, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bookings" {
			seen <- r.Header.Get("Traceparent")
		}
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(upstream.Close)
	cert, key, pool := selfSigned(t)
	f := &fleet{t: t, regions: []string{"wien-a", "wien-a"}}
	f.extra = fmt.Sprintf("[tls]\ncert_file = %q\nkey_file = %q\n[peer_tls]\ncert_file = %q\nkey_file = %q\nca_file = %q\n[trace]\nexporter = \"stdout\"\n", cert, key, cert, key, cert)
	f.secure = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	f.begin(func(c *inventory.Config) {
		for i := range c.Upstreams {
			if c.Upstreams[i].Pool == "bookings" {
				c.Upstreams[i].Address = strings.TrimPrefix(upstream.URL, "http://")
			}
		}
	})

	res, err := http.Get("http://127.0.0.1:" + f.ports["LISTEN_0"] + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusBadRequest {
		t.Errorf("without TLS: %s", res.Status)
	}
	program := filepath.Join(f.folder, "yuccactl")
	if out, err := exec.Command("go", "build", "-o", program, "../operator").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	server := "https://127.0.0.1:" + f.ports["LISTEN_0"]
	for want, flags := range map[bool][]string{true: {"--ca-file", cert}, false: nil} {
		out, err := exec.Command(program, append([]string{"status", "--server", server, "--token", operatorToken}, flags...)...).CombinedOutput()
		if (err == nil) != want {
			t.Errorf("yuccactl with %v: %v\n%s", flags, err, out)
		}
	}

	const trace, parent = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	f.book("00-" + trace + "-" + parent + "-01")
	if got := <-seen; !strings.HasPrefix(got, "00-"+trace+"-") || strings.Contains(got, parent) {
		t.Errorf("the upstream got traceparent %q", got)
	}
	f.stop(0, false)
	want := map[string]string{"ingress": parent, "reservation": "ingress", "claim": "ingress", "attempt": "ingress", "relay": "attempt"}
	if got := f.spans(0, trace); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("spans under their parents: %v, want %v", got, want)
	}
}

func TestUnusableSettingsEndTheDaemonWithAReason(t *testing.T) {
	t.Parallel()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	folder := t.TempDir()
	program := filepath.Join(folder, "yuccaspread")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f := &fleet{t: t, ports: map[string]string{}}
	f.reserve("LISTEN", "PEER")
	free := "listen = \"127.0.0.1:" + f.ports["LISTEN"] + "\"\n"
	used := socket.Addr().String()
	for reason, lines := range map[string]string{
		"listen tcp " + used:        "listen = \"" + used + "\"\n",
		"line 7: unknown key lisen": free + "lisen = \"x\"\n",
		"absent.pem: no such file":  free + "[tls]\ncert_file = \"absent.pem\"\nkey_file = \"absent.pem\"\n",
		"peer_tls.cert_file":        free + "[peer_tls]\nca_file = \"absent.pem\"\n",
	} {
		path := filepath.Join(folder, "settings.toml")
		text := "name = \"e\"\nregion = \"r\"\nfailure_domain = \"r-1\"\npeer_listen = \"127.0.0.1:" + f.ports["PEER"] + "\"\nplatform = \"http://127.0.0.1:1\"\n" + lines
		if err = os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(program, "--settings", path)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), reason) {
			t.Errorf("%s: status %d\n%s", reason, cmd.ProcessState.ExitCode(), out)
		}
	}
}
