// Package link connects the system's own processes: drpc over TCP after both
// sides have shown that they hold the deployment's secret.
package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 3 * time.Second
)

// shakeClient proves the secret to the server and checks the server's proof.
func shakeClient(conn net.Conn, secret []byte) error {
	mine := make([]byte, nonceBytes)
	if _, err := rand.Read(mine); err != nil {
		return err
	}
	if _, err := conn.Write(mine); err != nil {
		return err
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	theirs := answer[:nonceBytes]
	if !hmac.Equal(answer[nonceBytes:], proof(secret, "server", mine, theirs)) {
		return rollout.NewError(rollout.KindForbidden, "%s does not hold the secret", conn.RemoteAddr())
	}
	_, err := conn.Write(proof(secret, "client", mine, theirs))
	return err
}

// shakeServer proves the secret to the client and checks the client's proof.
func shakeServer(conn net.Conn, secret []byte) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return err
	}
	mine := make([]byte, nonceBytes)
	if _, err := rand.Read(mine); err != nil {
		return err
	}
	if _, err := conn.Write(append(mine, proof(secret, "server", theirs, mine)...)); err != nil {
		return err
	}
	answer := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	if !hmac.Equal(answer, proof(secret, "client", theirs, mine)) {
		return rollout.NewError(rollout.KindForbidden, "%s does not hold the secret", conn.RemoteAddr())
	}
	return conn.SetDeadline(time.Time{})
}

func proof(secret []byte, side string, client, server []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(side))
	mac.Write(client)
	mac.Write(server)
	return mac.Sum(nil)
}
