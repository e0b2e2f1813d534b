// Package caller is a stand-in for the callers of yuccaspread. It requests the list of
// daemon addresses, caches it, sends requests there, and checks that each response is
// complete and belongs to its request.
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

// maxAttempts bounds how often a request is sent until it has a response.
const maxAttempts = 4

// retryPause is the time between two attempts.
const retryPause = 200 * clock.Millisecond

// Kind describes one kind of request.
type Kind struct {
	// Path is the URL path of the request.
	Path string `toml:"path"`
	// Model is the model's name, empty for calls of a plain service.
	Model string `toml:"model"`
	// Class is sent in X-Request-Class, if set.
	Class string `toml:"class"`
	// Stream requests server-sent events.
	Stream bool `toml:"stream"`
	// Keyed sends an Idempotency-Key, the same for all attempts.
	Keyed bool `toml:"keyed"`
	// PromptTokens and OutputTokens are the lengths of the prompt and of the answer.
	PromptTokens int `toml:"prompt_tokens"`
	OutputTokens int `toml:"output_tokens"`
	// Token is the organisation's bearer token.
	Token string `toml:"token"`
	// Region is the callers' own region, for which they request addresses.
	Region string `toml:"region"`
}

// Caller sends requests. Its exported fields are set before Run.
type Caller struct {
	// Daemons are the base URLs that the address list is requested from at first.
	Daemons []string
	Kinds   []Kind
	// Requests is the number of requests, Parallel how many are sent at once.
	Requests int
	Parallel int
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client

	mu sync.Mutex
	// addressLists holds the cached address lists by region.
	addressLists map[string]addressList
	tally        Tally
}

// addressList is a cached address list.
type addressList struct {
	addresses []string
	expires   time.Time
}

// Tally counts the outcomes of requests.
type Tally struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Lost counts requests without any response.
	Lost int `json:"lost"`
	// Cut counts responses that were incomplete or belonged to another request.
	Cut int `json:"cut"`
	// Duplicated counts requests whose Idempotency-Key ran more than once.
	Duplicated int `json:"duplicated"`
}

// Errors that an attempt can end with. Any other error counts as a lost request.
var (
	errIncomplete = errors.New("response is incomplete or of another request")
	errRefused    = errors.New("request refused")
	errDuplicated = errors.New("request ran more than once")
)

// Run sends all requests and returns the counts.
func (c *Caller) Run(ctx context.Context) Tally {
	indexes := make(chan int)
	var workers sync.WaitGroup
	for range max(c.Parallel, 1) {
		workers.Go(func() {
			for index := range indexes {
				c.countOutcome(c.sendWithRetries(ctx, index))
			}
		})
	}
	for index := range c.Requests {
		indexes <- index
	}
	close(indexes)
	workers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}

func (c *Caller) countOutcome(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Sent++
	switch {
	case err == nil:
		c.tally.Answered++
	case errors.Is(err, errRefused):
		c.tally.Refused++
	case errors.Is(err, errIncomplete):
		c.tally.Cut++
	case errors.Is(err, errDuplicated):
		c.tally.Duplicated++
	default:
		c.tally.Lost++
	}
}

// sendWithRetries sends a request until it has a valid response or a refusal, up to
// maxAttempts times. It returns the error of the last attempt.
func (c *Caller) sendWithRetries(ctx context.Context, index int) (err error) {
	kind := c.Kinds[index%len(c.Kinds)]
	key := ""
	if kind.Keyed {
		key = uuid.NewString()
	}
	for attempt := range maxAttempts {
		if attempt > 0 {
			time.Sleep(retryPause.Duration())
		}
		err = c.sendOnce(ctx, kind, key, index, attempt)
		if err == nil || errors.Is(err, errRefused) || errors.Is(err, errDuplicated) {
			return err
		}
	}
	return err
}

func (c *Caller) sendOnce(ctx context.Context, kind Kind, key string, index, attempt int) (err error) {
	address, err := c.pickAddress(ctx, kind.Region, attempt)
	if err != nil {
		return err
	}
	body, prompt := requestBody(kind, index)
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
		c.expireAddresses(kind.Region)
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode/100 != 2 {
		reply, _ := io.ReadAll(res.Body)
		return fmt.Errorf("%w: %s: %s", errRefused, res.Status, reply)
	}
	return checkReply(kind, key, body, prompt, res)
}

func (c *Caller) client() *http.Client {
	if c.Client != nil {
		return c.Client
	}
	return http.DefaultClient
}

// requestBody returns the body of a request, and its prompt if it is for a model.
func requestBody(kind Kind, index int) (body []byte, prompt string) {
	if kind.Model == "" {
		return []byte(`{"seat":` + strconv.Itoa(index) + `}`), ""
	}
	prompt = fmt.Sprintf("question %d ", index)
	if padding := kind.PromptTokens*4 - len(prompt); padding > 0 {
		prompt += strings.Repeat("x", padding)
	}
	body, _ = json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{kind.Model, prompt, kind.OutputTokens, kind.Stream})
	return body, prompt
}

func checkReply(kind Kind, key string, body []byte, prompt string, res *http.Response) (err error) {
	switch {
	case kind.Model == "":
		return checkService(key, body, res.Body)
	case kind.Stream:
		return checkStream(kind, prompt, res.Body)
	default:
		return checkCompletion(kind, prompt, res.Body)
	}
}

func checkService(key string, body []byte, reply io.Reader) (err error) {
	var answer struct {
		Key  string `json:"key"`
		Run  int    `json:"run"`
		Echo string `json:"echo"`
	}
	if err = json.NewDecoder(reply).Decode(&answer); err != nil || answer.Echo != string(body) {
		return errors.Join(errIncomplete, err)
	}
	if key != "" && (answer.Key != key || answer.Run != 1) {
		return errDuplicated
	}
	return nil
}

func checkCompletion(kind Kind, prompt string, reply io.Reader) (err error) {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err = json.NewDecoder(reply).Decode(&answer); err != nil || len(answer.Choices) != 1 {
		return errors.Join(errIncomplete, err)
	}
	return checkAnswer(kind, prompt, answer.Choices[0].Message.Content)
}

func checkStream(kind Kind, prompt string, reply io.Reader) (err error) {
	var content strings.Builder
	done := false
	lines := bufio.NewScanner(reply)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !found:
		case data == "[DONE]":
			done = true
		default:
			var chunk struct {
				Choices []struct {
					Delta struct {
						Content string `json:"content"`
					} `json:"delta"`
				} `json:"choices"`
			}
			if err = json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
				return errors.Join(errIncomplete, err)
			}
			content.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	if lines.Err() != nil || !done {
		return errors.Join(errIncomplete, lines.Err())
	}
	return checkAnswer(kind, prompt, content.String())
}

func checkAnswer(kind Kind, prompt, got string) error {
	want := strings.Join(generator.AnswerTokens(prompt, kind.OutputTokens), "")
	if got != want {
		return fmt.Errorf("%w: got %d bytes of %d", errIncomplete, len(got), len(want))
	}
	return nil
}

// pickAddress returns the best cached address of the region, or the next best one at
// each further attempt. It refreshes the list when it has expired.
func (c *Caller) pickAddress(ctx context.Context, region string, attempt int) (address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addressLists == nil {
		c.addressLists = map[string]addressList{}
	}
	if time.Now().After(c.addressLists[region].expires) {
		if err = c.refreshAddresses(ctx, region); err != nil && len(c.addressLists[region].addresses) == 0 {
			return "", err
		}
	}
	addresses := c.addressLists[region].addresses
	return addresses[attempt%len(addresses)], nil
}

// expireAddresses makes the region's list expire after one of its addresses failed.
func (c *Caller) expireAddresses(region string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.addressLists[region]
	list.expires = time.Time{}
	c.addressLists[region] = list
}

// refreshAddresses requests the list from one daemon after the other, until one
// succeeds. It is called with c.mu held.
func (c *Caller) refreshAddresses(ctx context.Context, region string) (err error) {
	var bases []string
	for _, a := range c.addressLists[region].addresses {
		bases = append(bases, "http://"+a)
	}
	for _, base := range append(bases, c.Daemons...) {
		var answer addressList
		if answer, err = c.fetchAddresses(ctx, base, region); err == nil {
			c.addressLists[region] = answer
			return nil
		}
	}
	return err
}

// fetchAddresses requests the address list of one daemon.
func (c *Caller) fetchAddresses(ctx context.Context, base, region string) (list addressList, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/addresses?region="+region, nil)
	if err != nil {
		return list, err
	}
	res, err := c.client().Do(req)
	if err != nil {
		return list, err
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
		LifetimeMS clock.Millis `json:"lifetime_ms"`
	}
	if err = json.NewDecoder(res.Body).Decode(&answer); err != nil {
		return list, err
	}
	if len(answer.Addresses) == 0 {
		return list, errors.New("no addresses from " + base)
	}
	for _, a := range answer.Addresses {
		list.addresses = append(list.addresses, a.Address)
	}
	list.expires = time.Now().Add(answer.LifetimeMS.Duration())
	return list, nil
}
