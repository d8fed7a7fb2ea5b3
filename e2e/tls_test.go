package e2e

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// certificate writes a self-signed certificate for loopback and its key to temporary files.
func certificate(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "snipewall test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:        true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for name, block := range map[string]*pem.Block{
		certFile: {Type: "CERTIFICATE", Bytes: cert}, keyFile: {Type: "PRIVATE KEY", Bytes: private},
	} {
		assert.NilError(t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return certFile, keyFile
}

// Guards against broken TLS to callers and upstreams, against accepting callers without TLS where it is
// required, and against presenting a certificate other than the configured one.
func TestTLS(t *testing.T) {
	t.Parallel()
	cert, key := certificate(t)
	c := options{
		vms: 3, upstream: []string{"--tls-certificate", cert, "--tls-key", key},
		settings: fmt.Sprintf("[CallerTLS]\nCertificate = %s\nKey = %s\nRequired = true\n[UpstreamTLS]\nCA = %s\n", cert, key, cert),
	}.start(t)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	dial := func(vm entryVM, params string) (*pgx.Conn, error) {
		conn, err := pgx.Connect(ctx, "postgres://test@"+vm.callers+"/berth?"+params)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close(context.Background()) })
		}
		return conn, err
	}
	_, err := dial(c.vms[0], "sslmode=disable")
	assert.Assert(t, sqlState(err) != "", "a caller without TLS was not refused with an SQLSTATE: %v", err)
	other, _ := certificate(t)
	_, err = dial(c.vms[0], "sslmode=verify-full&sslrootcert="+other)
	assert.Assert(t, err != nil, "the caller accepted a certificate that it does not trust")
	for i, params := range []string{"sslmode=require", "sslmode=verify-full&sslrootcert=" + cert} {
		conn, err := dial(c.vms[i], params)
		assert.NilError(t, err)
		mustExec(t, conn, fmt.Sprintf("create table t%d (id int8)", i))
		mustExec(t, conn, fmt.Sprintf("insert into t%d (id) values (7)", i))
		var id int
		assert.NilError(t, conn.QueryRow(ctx, fmt.Sprintf("select id from t%d", i)).Scan(&id))
		assert.Equal(t, id, 7)
	}
}

// Guards against sending statements to an upstream with an untrusted certificate.
func TestUntrustedUpstream(t *testing.T) {
	t.Parallel()
	cert, key := certificate(t)
	other, _ := certificate(t)
	c := options{
		vms: 1, upstream: []string{"--tls-certificate", cert, "--tls-key", key},
		settings: "[UpstreamTLS]\nCA = " + other + "\n",
	}.start(t)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, err := c.connect(c.vms[0]).Exec(ctx, "create table t (id int8)")
	assert.Equal(t, sqlState(err), "SW002", "%v", err)
	for i := range c.upstreams {
		assert.Equal(t, c.stats(i).Executed, uint64(0))
	}
}

// Guards against a configured connection limit that isn't enforced.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	c := options{vms: 1, callers: "MaxConnections = 3\n"}.start(t)
	for range 3 {
		c.connect(c.vms[0])
	}
	conn, err := pgx.Connect(context.Background(), "postgres://test@"+c.vms[0].callers+"/berth?sslmode=disable")
	if err == nil {
		_ = conn.Close(context.Background())
	}
	assert.Equal(t, sqlState(err), "53300", "%v", err)
}
