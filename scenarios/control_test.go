package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// controlClient calls the control listeners of stand-ins and the operator listeners of processes. It
// opens a connection for each request, so that no connection outlives a kill or a freeze.
var controlClient = &http.Client{
	Timeout:   10 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

func get(url string) (string, error) {
	res, err := controlClient.Get(url)
	if err != nil {
		return "", err
	}
	return readBody(res)
}

func put(url string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	_, err = readBody(res)
	return err
}

func putJSON(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return put(url, body)
}

// readBody reads and closes the body. A status other than 2xx is an error.
func readBody(res *http.Response) (string, error) {
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return "", err
	}
	if res.StatusCode/100 != 2 {
		return "", fmt.Errorf("%s %s: %s: %s", res.Request.Method, res.Request.URL, res.Status, body)
	}
	return string(body), nil
}
