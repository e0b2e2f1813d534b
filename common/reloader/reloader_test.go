package reloader

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// certificateAuthority issues the certificates of a test.
type certificateAuthority struct {
	t         *testing.T
	directory string
	cert      *x509.Certificate
	key       *ecdsa.PrivateKey
	serial    int64
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	a := &certificateAuthority{t: t, directory: t.TempDir()}
	template := &x509.Certificate{Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.cert, a.key = a.sign(template)
	a.write("ca.pem", "CERTIFICATE", a.cert.Raw)
	return a
}

// sign creates a certificate; the first one is self-signed.
func (a *certificateAuthority) sign(template *x509.Certificate) (cert *x509.Certificate, key *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.serial++
	template.SerialNumber = big.NewInt(a.serial)
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		a.t.Fatal(err)
	}
	if cert, err = x509.ParseCertificate(raw); err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

// issue writes a certificate for this host with the common name, and its key.
func (a *certificateAuthority) issue(name string) Files {
	cert, key := a.sign(&x509.Certificate{Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}})
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return Files{
		CertFile: a.write("cert.pem", "CERTIFICATE", cert.Raw),
		KeyFile:  a.write("key.pem", "EC PRIVATE KEY", raw),
		CAFile:   filepath.Join(a.directory, "ca.pem"),
	}
}

func (a *certificateAuthority) write(name, kind string, raw []byte) (path string) {
	path = filepath.Join(a.directory, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

func newReloader(t *testing.T, files Files) *Reloader {
	t.Helper()
	r, err := New(files)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// serve writes one byte to each connection. It returns the address that it
// listens on.
func serve(t *testing.T, r *Reloader) (address string) {
	socket, err := tls.Listen("tcp", "127.0.0.1:0", r.Server())
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
			_, _ = conn.Write([]byte{1})
			_ = conn.Close()
		}
	}()
	return socket.Addr().String()
}

// dialServer connects, reads the byte that the server writes and returns the
// common name in the server's certificate.
func dialServer(address string, config *tls.Config) (name string, err error) {
	conn, err := tls.Dial("tcp", address, config)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if _, err = conn.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// Guards against mutual TLS that lets in peers without a certificate or with one
// of another authority.
func TestConnectionsRequireCertificatesOfTrustedAuthorities(t *testing.T) {
	trusted, untrusted := newCertificateAuthority(t), newCertificateAuthority(t)
	keys := newReloader(t, trusted.issue("server"))
	address := serve(t, keys)
	if name, err := dialServer(address, keys.Client()); err != nil || name != "server" {
		t.Errorf("a trusted certificate: %q, %v", name, err)
	}
	missing := keys.Client()
	missing.Certificates = nil
	wrong := keys.Client()
	wrong.Certificates = newReloader(t, untrusted.issue("stranger")).Client().Certificates
	for description, config := range map[string]*tls.Config{"missing": missing, "wrong": wrong} {
		if _, err := dialServer(address, config); err == nil || !strings.Contains(err.Error(), "certificate") {
			t.Errorf("a %s certificate: %v", description, err)
		}
	}
	// A client refuses a server of another authority too.
	var unknownAuthority x509.UnknownAuthorityError
	if _, err := dialServer(address, newReloader(t, untrusted.issue("stranger")).Client()); !errors.As(err, &unknownAuthority) {
		t.Errorf("an untrusted server: %v", err)
	}
}

// Guards against a server that demands client certificates although no
// authorities are configured.
func TestWithoutAuthoritiesAnyClientConnects(t *testing.T) {
	ca := newCertificateAuthority(t)
	files := ca.issue("server")
	roots := newReloader(t, files).Client().RootCAs
	files.CAFile = ""
	if name, err := dialServer(serve(t, newReloader(t, files)), &tls.Config{RootCAs: roots}); err != nil || name != "server" {
		t.Errorf("%q, %v", name, err)
	}
}

// Guards against replaced certificates that are not picked up, also when their
// modification times are old, and against partly written files that break
// connections.
func TestNextConnectionUsesChangedFiles(t *testing.T) {
	ca := newCertificateAuthority(t)
	files := ca.issue("first")
	address := serve(t, newReloader(t, files))
	client := newReloader(t, files).Client()
	expect := func(want string) {
		t.Helper()
		if name, err := dialServer(address, client); err != nil || name != want {
			t.Errorf("%q, %v, want %q", name, err, want)
		}
	}
	expect("first")
	ca.issue("second")
	expect("second")
	// A new file may have an older modification time than another file.
	backdate := func(by time.Duration, names ...string) {
		for _, name := range names {
			if err := os.Chtimes(name, time.Time{}, time.Now().Add(-by)); err != nil {
				t.Fatal(err)
			}
		}
	}
	backdate(-time.Minute, files.CAFile)
	expect("second")
	ca.issue("third")
	backdate(time.Minute, files.CertFile, files.KeyFile)
	expect("third")
	// While a file is truncated or missing, the previous keys stay in use.
	certificatePEM, err := os.ReadFile(files.CertFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, content := range []string{"", string(certificatePEM[:len(certificatePEM)/2])} {
		if err = os.WriteFile(files.CertFile, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		expect("third")
	}
	if err = os.Remove(files.KeyFile); err != nil {
		t.Fatal(err)
	}
	expect("third")
	ca.issue("fourth")
	expect("fourth")
}

// Guards against a program that starts with unusable TLS files, or that refuses
// to start without naming the file at fault.
func TestNewNamesUnusableFiles(t *testing.T) {
	files := newCertificateAuthority(t).issue("server")
	other := newCertificateAuthority(t).issue("other")
	absent := filepath.Join(t.TempDir(), "absent.pem")
	for field, set := range map[string]func(*Files){
		"cert_file": func(f *Files) { f.CertFile = absent },
		"key_file":  func(f *Files) { f.KeyFile = absent },
		"ca_file":   func(f *Files) { f.CAFile = absent },
	} {
		f := files
		set(&f)
		if _, err := New(f); !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), absent) {
			t.Errorf("%s: %v", field, err)
		}
	}
	mixedFiles := files
	mixedFiles.KeyFile = other.KeyFile
	if _, err := New(mixedFiles); err == nil {
		t.Error("New accepted a key that does not belong to the certificate")
	}
	mixedFiles = files
	mixedFiles.CAFile = files.KeyFile
	if _, err := New(mixedFiles); err == nil || !strings.Contains(err.Error(), "holds no certificate") {
		t.Errorf("authorities without a certificate: %v", err)
	}
}
