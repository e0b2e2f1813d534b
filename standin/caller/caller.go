// Package caller is a stand-in for the callers of yuccaspread: it asks for
// addresses, keeps the answer, connects there and checks that every answer is
// whole and its own.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"yuccaspread/common/clock"
	"yuccaspread/standin/generator"
)

// maxTries bounds how often a caller sends a request whose answer it misses.
const maxTries = 4

// retryPause is the time between two tries.
const retryPause = 200 * clock.Millisecond

// Kind is a kind of request.
type Kind struct {
	// Path is where the request goes.
	Path string `toml:"path"`
	// Model is set for model requests and empty for calls of a service.
	Model string `toml:"model"`
	// Class is sent in X-Request-Class.
	Class string `toml:"class"`
	// Stream asks for server-sent events.
	Stream bool `toml:"stream"`
	// Keyed sends an Idempotency-Key.
	Keyed bool `toml:"keyed"`
	// PromptTokens and OutputTokens are the lengths.
	PromptTokens int `toml:"prompt_tokens"`
	OutputTokens int `toml:"output_tokens"`
	// Token is the organisation's bearer token.
	Token string `toml:"token"`
	// Region is where the callers of this kind stand.
	Region string `toml:"region"`
}

// Caller sends requests. Its exported fields are set before Run.
type Caller struct {
	// Daemons are base URLs at which the first question for addresses is tried.
	Daemons []string
	Kinds   []Kind
	// Requests is the number of requests to send, Parallel how many at once.
	Requests int
	Parallel int
	// Client sends; nil stands for http.DefaultClient.
	Client *http.Client

	mu sync.Mutex
	// kept holds the address answers by region.
	kept  map[string]kept
	tally Tally
}

// kept is an address answer that is used until it expires.
type kept struct {
	addresses []string
	until     time.Time
}

// Tally counts what became of the requests.
type Tally struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Lost counts requests without any answer or refusal.
	Lost int `json:"lost"`
	// Cut counts answers that were not whole or not the request's own.
	Cut int `json:"cut"`
	// Duplicated counts keys that ran more than once.
	Duplicated int `json:"duplicated"`
}

// Errors that a try can end with.
var (
	errCut     = errors.New("answer not whole")
	errRefused = errors.New("refused")
	errDoubled = errors.New("ran more than once")
)

// Run sends all requests and returns the counts.
func (c *Caller) Run(ctx context.Context) Tally {
	numbers := make(chan int)
	var wait sync.WaitGroup
	for range max(c.Parallel, 1) {
		wait.Go(func() {
			for number := range numbers {
				c.count(c.request(ctx, number))
			}
		})
	}
	for number := range c.Requests {
		numbers <- number
	}
	close(numbers)
	wait.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}

func (c *Caller) count(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Sent++
	switch {
	case err == nil:
		c.tally.Answered++
	case errors.Is(err, errRefused):
		c.tally.Refused++
	case errors.Is(err, errCut):
		c.tally.Cut++
	case errors.Is(err, errDoubled):
		c.tally.Duplicated++
	default:
		c.tally.Lost++
	}
}

// request sends one request until it has an answer or a refusal.
func (c *Caller) request(ctx context.Context, number int) (err error) {
	kind := c.Kinds[number%len(c.Kinds)]
	key := ""
	if kind.Keyed {
		key = uuid.NewString()
	}
	for try := range maxTries {
		if try > 0 {
			time.Sleep(retryPause.Duration())
		}
		err = c.try(ctx, kind, key, number, try)
		if err == nil || errors.Is(err, errRefused) || errors.Is(err, errDoubled) {
			return err
		}
	}
	return err
}

func (c *Caller) try(ctx context.Context, kind Kind, key string, number, try int) (err error) {
	address, err := c.address(ctx, kind.Region, try)
	if err != nil {
		return err
	}
	body, prompt := content(kind, number)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+kind.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+kind.Token)
	req.Header.Set("Content-Type", "application/json")
	if kind.Class != "" {
		req.Header.Set("X-Request-Class", kind.Class)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := c.client().Do(req)
	if err != nil {
		c.forget(kind.Region)
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode/100 != 2 {
		reply, _ := io.ReadAll(res.Body)
		return fmt.Errorf("%w: %s: %s", errRefused, res.Status, reply)
	}
	return check(kind, key, body, prompt, res)
}

func (c *Caller) client() *http.Client {
	if c.Client != nil {
		return c.Client
	}
	return http.DefaultClient
}

// content returns the body of a request and its prompt, if it has one.
func content(kind Kind, number int) (body []byte, prompt string) {
	if kind.Model == "" {
		return []byte(`{"seat":` + strconv.Itoa(number) + `}`), ""
	}
	prompt = fmt.Sprintf("question %d ", number)
	if missing := kind.PromptTokens*4 - len(prompt); missing > 0 {
		prompt += strings.Repeat("x", missing)
	}
	body, _ = json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{kind.Model, prompt, kind.OutputTokens, kind.Stream})
	return body, prompt
}

func check(kind Kind, key string, body []byte, prompt string, res *http.Response) (err error) {
	switch {
	case kind.Model == "":
		return checkService(key, body, res.Body)
	case kind.Stream:
		return checkStream(kind, prompt, res.Body)
	default:
		return checkWhole(kind, prompt, res.Body)
	}
}

func checkService(key string, body []byte, reply io.Reader) (err error) {
	var answer struct {
		Key  string `json:"key"`
		Run  int    `json:"run"`
		Echo string `json:"echo"`
	}
	if err = json.NewDecoder(reply).Decode(&answer); err != nil || answer.Echo != string(body) {
		return errors.Join(errCut, err)
	}
	if key != "" && (answer.Key != key || answer.Run != 1) {
		return errDoubled
	}
	return nil
}

func checkWhole(kind Kind, prompt string, reply io.Reader) (err error) {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err = json.NewDecoder(reply).Decode(&answer); err != nil || len(answer.Choices) != 1 {
		return errors.Join(errCut, err)
	}
	return compare(kind, prompt, answer.Choices[0].Message.Content)
}

func checkStream(kind Kind, prompt string, reply io.Reader) (err error) {
	var got strings.Builder
	done := false
	lines := bufio.NewScanner(reply)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !found:
		case data == "[DONE]":
			done = true
		default:
			var piece struct {
				Choices []struct {
					Delta struct {
						Content string `json:"content"`
					} `json:"delta"`
				} `json:"choices"`
			}
			if err = json.Unmarshal([]byte(data), &piece); err != nil || len(piece.Choices) != 1 {
				return errors.Join(errCut, err)
			}
			got.WriteString(piece.Choices[0].Delta.Content)
		}
	}
	if lines.Err() != nil || !done {
		return errors.Join(errCut, lines.Err())
	}
	return compare(kind, prompt, got.String())
}

func compare(kind Kind, prompt, got string) error {
	want := strings.Join(generator.Answer(prompt, kind.OutputTokens), "")
	if got != want {
		return fmt.Errorf("%w: got %d bytes of %d", errCut, len(got), len(want))
	}
	return nil
}

// address returns the best kept address of the region, or the next best one
// at each further try, and asks for new ones when they have expired.
func (c *Caller) address(ctx context.Context, region string, try int) (address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept == nil {
		c.kept = map[string]kept{}
	}
	if time.Now().After(c.kept[region].until) {
		if err = c.refresh(ctx, region); err != nil && len(c.kept[region].addresses) == 0 {
			return "", err
		}
	}
	addresses := c.kept[region].addresses
	return addresses[try%len(addresses)], nil
}

// forget lets the kept answer expire after one of its addresses failed.
func (c *Caller) forget(region string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.kept[region]
	old.until = time.Time{}
	c.kept[region] = old
}

// refresh asks one daemon after the other; c.mu is held.
func (c *Caller) refresh(ctx context.Context, region string) (err error) {
	var bases []string
	for _, a := range c.kept[region].addresses {
		bases = append(bases, "http://"+a)
	}
	for _, base := range append(bases, c.Daemons...) {
		var answer kept
		if answer, err = c.ask(ctx, base, region); err == nil {
			c.kept[region] = answer
			return nil
		}
	}
	return err
}

// ask gets the address answer of one daemon.
func (c *Caller) ask(ctx context.Context, base, region string) (k kept, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/addresses?region="+region, nil)
	if err != nil {
		return k, err
	}
	res, err := c.client().Do(req)
	if err != nil {
		return k, err
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
		LifetimeMS clock.Millis `json:"lifetime_ms"`
	}
	if err = json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return k, err
	}
	if len(answer.Addresses) == 0 {
		return k, errors.New("no addresses from " + base)
	}
	for _, a := range answer.Addresses {
		k.addresses = append(k.addresses, a.Address)
	}
	k.until = time.Now().Add(answer.LifetimeMS.Duration())
	return k, nil
}
