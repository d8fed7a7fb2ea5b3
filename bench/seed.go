package main

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5"
	"github.com/urfave/cli/v3"
)

func seedCommand() *cli.Command {
	return &cli.Command{
		Name:  "seed",
		Usage: "write the row that the measurements read",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "`HOST:PORT` for callers", Required: true},
			&cli.StringFlag{Name: "database", Usage: "group to use", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://bench@%s/%s?sslmode=disable", cmd.String("address"), cmd.String("database")))
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close(ctx) }()
			for _, sql := range []string{
				"create table if not exists berths (id int8 primary key, captain text)",
				"insert into berths (id, captain) values (1, 'Thibodeaux')",
			} {
				if _, err := conn.Exec(ctx, sql); err != nil {
					return fmt.Errorf("%s: %w", sql, err)
				}
			}
			return nil
		},
	}
}
