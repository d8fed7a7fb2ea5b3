package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// getJSON decodes the JSON response of an admin port or of the platform's simulator into value.
func getJSON(ctx context.Context, url string, value any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", url, res.Status)
	}
	return json.NewDecoder(res.Body).Decode(value)
}
