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

// writeSelfSignedCertificate writes a self-signed certificate for 127.0.0.1 and
// its key, and returns their paths and a pool that trusts the certificate.
func writeSelfSignedCertificate(t *testing.T) (cert, key string, pool *x509.CertPool) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	certificateDER, err := x509.CreateCertificate(rand.Reader, template, template, privateKey.Public(), privateKey)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	cert, key = filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	content := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificateDER})
	if err = os.WriteFile(cert, content, 0o600); err != nil {
		t.Fatal(err)
	}
	if err = os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600); err != nil {
		t.Fatal(err)
	}
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(content)
	return cert, key, pool
}

// sendBooking sends a booking with the given Traceparent header.
func (f *fleet) sendBooking(traceparent string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "https://127.0.0.1:"+f.ports["LISTEN_0"]+"/bookings", strings.NewReader("{}"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header = http.Header{"Authorization": {"Bearer " + callerToken}, "Idempotency-Key": {"k"}, "Traceparent": {traceparent}}
	res, err := f.tlsClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if body, err := io.ReadAll(res.Body); err != nil || res.StatusCode != http.StatusOK {
		f.t.Fatalf("%s, %v: %s", res.Status, err, body)
	}
}

// spanParents returns the parent of each span that the daemon exported for the
// trace, by span name. A parent that the daemon exported too is given by name,
// any other by id.
func (f *fleet) spanParents(i int, trace string) (parents map[string]string) {
	content, err := os.ReadFile(filepath.Join(f.folder, fmt.Sprintf("daemon-%d.toml.log", i)))
	if err != nil {
		f.t.Fatal(err)
	}
	type ids struct{ TraceID, SpanID string }
	spanNames := map[string]string{}
	parentIDs := map[string]string{}
	for line := range bytes.Lines(content) {
		var span struct {
			Name                string
			SpanContext, Parent ids
		}
		if json.Unmarshal(line, &span) == nil && span.SpanContext.TraceID == trace {
			spanNames[span.SpanContext.SpanID] = span.Name
			parentIDs[span.Name] = span.Parent.SpanID
		}
	}
	parents = map[string]string{}
	for name, id := range parentIDs {
		parents[name] = id
		if spanNames[id] != "" {
			parents[name] = spanNames[id]
		}
	}
	return parents
}

// TestFleetWithTLSTracesARequest runs a fleet with TLS towards callers and
// between daemons. It fails if a plaintext request is served, if yuccactl trusts
// the daemon without its CA file, or if the trace of a caller isn't continued
// through the spans of the daemon to the upstream.
func TestFleetWithTLSTracesARequest(t *testing.T) {
	traceparents := make(chan string, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bookings" {
			traceparents <- r.Header.Get("Traceparent")
		}
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(upstream.Close)
	cert, key, pool := writeSelfSignedCertificate(t)
	f := &fleet{t: t, regions: []string{"wien-a", "wien-a"}}
	f.extraSettings = fmt.Sprintf("[tls]\ncert_file = %q\nkey_file = %q\n[peer_tls]\ncert_file = %q\nkey_file = %q\nca_file = %q\n[trace]\nexporter = \"stdout\"\n", cert, key, cert, key, cert)
	f.tlsClient = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	f.startAll(func(c *inventory.Config) {
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
	for wantSuccess, flags := range map[bool][]string{true: {"--ca-file", cert}, false: nil} {
		out, err := exec.Command(program, append([]string{"status", "--server", server, "--token", operatorToken}, flags...)...).CombinedOutput()
		if (err == nil) != wantSuccess {
			t.Errorf("yuccactl with %v: %v\n%s", flags, err, out)
		}
	}

	const trace, parent = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	f.sendBooking("00-" + trace + "-" + parent + "-01")
	if got := <-traceparents; !strings.HasPrefix(got, "00-"+trace+"-") || strings.Contains(got, parent) {
		t.Errorf("the upstream received traceparent %q, want the caller's trace with another parent", got)
	}
	f.stopDaemon(0, false)
	want := map[string]string{"ingress": parent, "reservation": "ingress", "claim": "ingress", "attempt": "ingress", "relay": "attempt"}
	if got := f.spanParents(0, trace); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("parents by span: %v, want %v", got, want)
	}
}

// TestInvalidSettingsExitWithReason starts the daemon with settings that it can't
// use. It fails if the process doesn't exit with status 1 or doesn't name the
// setting or address at fault.
func TestInvalidSettingsExitWithReason(t *testing.T) {
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
	t.Cleanup(f.free.Close)
	f.assignPorts("LISTEN", "PEER")
	freeListen := "listen = \"127.0.0.1:" + f.ports["LISTEN"] + "\"\n"
	usedAddress := socket.Addr().String()
	for reason, lines := range map[string]string{
		"listen tcp " + usedAddress: "listen = \"" + usedAddress + "\"\n",
		"line 7: unknown key lisen": freeListen + "lisen = \"x\"\n",
		"absent.pem: no such file":  freeListen + "[tls]\ncert_file = \"absent.pem\"\nkey_file = \"absent.pem\"\n",
		"peer_tls.cert_file":        freeListen + "[peer_tls]\nca_file = \"absent.pem\"\n",
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
