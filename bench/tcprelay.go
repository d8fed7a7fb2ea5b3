package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// tcpRelayCommand runs a relay that only copies bytes, as the baseline of the overhead measurement.
func tcpRelayCommand() *cli.Command {
	return &cli.Command{
		Name:  "tcprelay",
		Usage: "copy bytes between callers and one address, as a baseline",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`HOST:PORT` to listen on", Required: true},
			&cli.StringFlag{Name: "to", Usage: "`HOST:PORT` to copy to", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return relayTCP(ctx, cmd.String("listen"), cmd.String("to"))
		},
	}
}

func relayTCP(ctx context.Context, listen, to string) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", listen)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		go relayConn(ctx, conn, to)
	}
}

// relayConn copies both directions until one of them ends.
func relayConn(ctx context.Context, conn net.Conn, to string) {
	defer func() { _ = conn.Close() }()
	var d net.Dialer
	other, err := d.DialContext(ctx, "tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = other.Close() }()
	ends := make(chan error, 2)
	go func() { _, err := io.Copy(other, conn); ends <- err }()
	go func() { _, err := io.Copy(conn, other); ends <- err }()
	if err := <-ends; err != nil && !errors.Is(err, net.ErrClosed) {
		fmt.Fprintln(os.Stderr, "tcprelay:", err)
	}
}
