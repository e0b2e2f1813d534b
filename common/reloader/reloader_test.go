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

// authority issues the certificates of a test.
type authority struct {
	t      *testing.T
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, folder: t.TempDir()}
	form := &x509.Certificate{Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.cert, a.key = a.sign(form)
	a.write("ca.pem", "CERTIFICATE", a.cert.Raw)
	return a
}

// sign makes a certificate; the first one signs itself.
func (a *authority) sign(form *x509.Certificate) (cert *x509.Certificate, key *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.serial++
	form.SerialNumber = big.NewInt(a.serial)
	form.NotBefore, form.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = form, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, form, parent, key.Public(), signer)
	if err != nil {
		a.t.Fatal(err)
	}
	if cert, err = x509.ParseCertificate(raw); err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

// issue writes a certificate for this host under the name and its key.
func (a *authority) issue(name string) Files {
	cert, key := a.sign(&x509.Certificate{Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}})
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return Files{
		CertFile: a.write("cert.pem", "CERTIFICATE", cert.Raw),
		KeyFile:  a.write("key.pem", "EC PRIVATE KEY", raw),
		CAFile:   filepath.Join(a.folder, "ca.pem"),
	}
}

func (a *authority) write(name, kind string, raw []byte) (path string) {
	path = filepath.Join(a.folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

func open(t *testing.T, files Files) *Reloader {
	t.Helper()
	r, err := New(files)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// serve answers each connection with one byte and returns the address.
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

// ask reads the answer and returns the name in the server's certificate.
func ask(address string, config *tls.Config) (name string, err error) {
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

func TestOnlyCertificatesOfTheAuthoritiesConnect(t *testing.T) {
	own, strange := newAuthority(t), newAuthority(t)
	keys := open(t, own.issue("server"))
	address := serve(t, keys)
	if name, err := ask(address, keys.Client()); err != nil || name != "server" {
		t.Errorf("a right certificate: %q, %v", name, err)
	}
	missing := keys.Client()
	missing.Certificates = nil
	wrong := keys.Client()
	wrong.Certificates = open(t, strange.issue("stranger")).Client().Certificates
	for about, config := range map[string]*tls.Config{"missing": missing, "wrong": wrong} {
		if _, err := ask(address, config); err == nil || !strings.Contains(err.Error(), "certificate") {
			t.Errorf("a %s certificate: %v", about, err)
		}
	}
	// A client takes no server of other authorities either.
	var unknown x509.UnknownAuthorityError
	if _, err := ask(address, open(t, strange.issue("stranger")).Client()); !errors.As(err, &unknown) {
		t.Errorf("a strange server: %v", err)
	}
}

func TestWithoutAuthoritiesAnyClientConnects(t *testing.T) {
	own := newAuthority(t)
	files := own.issue("server")
	trust := open(t, files).Client().RootCAs
	files.CAFile = ""
	if name, err := ask(serve(t, open(t, files)), &tls.Config{RootCAs: trust}); err != nil || name != "server" {
		t.Errorf("%q, %v", name, err)
	}
}

func TestChangedFilesServeTheNextConnection(t *testing.T) {
	own := newAuthority(t)
	files := own.issue("first")
	address := serve(t, open(t, files))
	client := open(t, files).Client()
	expect := func(want string) {
		t.Helper()
		if name, err := ask(address, client); err != nil || name != want {
			t.Errorf("%q, %v, want %q", name, err, want)
		}
	}
	expect("first")
	own.issue("second")
	expect("second")
	// New files may carry times of change that are older than another file's.
	age := func(by time.Duration, names ...string) {
		for _, name := range names {
			if err := os.Chtimes(name, time.Time{}, time.Now().Add(-by)); err != nil {
				t.Fatal(err)
			}
		}
	}
	age(-time.Minute, files.CAFile)
	expect("second")
	own.issue("third")
	age(time.Minute, files.CertFile, files.KeyFile)
	expect("third")
	// A torn file leaves the old keys in use until it is whole.
	whole, err := os.ReadFile(files.CertFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, content := range []string{"", string(whole[:len(whole)/2])} {
		if err = os.WriteFile(files.CertFile, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		expect("third")
	}
	if err = os.Remove(files.KeyFile); err != nil {
		t.Fatal(err)
	}
	expect("third")
	own.issue("fourth")
	expect("fourth")
}

func TestUnusableFilesAreNamedAtTheStart(t *testing.T) {
	files := newAuthority(t).issue("server")
	other := newAuthority(t).issue("other")
	absent := filepath.Join(t.TempDir(), "absent.pem")
	for about, set := range map[string]func(*Files){
		"cert_file": func(f *Files) { f.CertFile = absent },
		"key_file":  func(f *Files) { f.KeyFile = absent },
		"ca_file":   func(f *Files) { f.CAFile = absent },
	} {
		f := files
		set(&f)
		if _, err := New(f); !errors.Is(err, fs.ErrNotExist) || !strings.Contains(err.Error(), absent) {
			t.Errorf("%s: %v", about, err)
		}
	}
	mixed := files
	mixed.KeyFile = other.KeyFile
	if _, err := New(mixed); err == nil {
		t.Error("a key of another certificate was taken")
	}
	mixed = files
	mixed.CAFile = files.KeyFile
	if _, err := New(mixed); err == nil || !strings.Contains(err.Error(), "holds no certificate") {
		t.Errorf("authorities without a certificate: %v", err)
	}
}
