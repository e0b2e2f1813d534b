package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"yuccaspread/common/reporter"
	"yuccaspread/operator/requester"
)

// errUnreachableDaemon has the exit status of a failure, as this command promises.
var errUnreachableDaemon = errors.New("the daemon can't be reached")

// explanation is a daemon's answer to a question.
type explanation struct{ reporter.Answer }

// Header implements printer.Tabular.
func (explanation) Header() []string {
	return []string{"UPSTREAM", "SHARD", "CHOICE", "SCORE", "FIRST_MS", "END_MS", "DELAY_MS", "RUNNING", "FOREIGN", "SLOTS", "KEPT", "KEPT_AGE_MS", "FAILURES", "SPEED_AGE_MS"}
}

// Rows implements printer.Tabular.
func (e explanation) Rows() (rows [][]string) {
	for _, s := range e.Shards {
		if s.Error != "" {
			rows = append(rows, []string{"", s.Shard, "scheduler " + s.Scheduler + ": " + s.Error})
		}
		for _, c := range s.Candidates {
			choice := string(c.Obstacle)
			switch {
			case c.Chosen && c.Upstream == e.Upstream:
				choice = "chosen"
			case choice == "":
				choice = "free"
			}
			number := func(v float64) string { return strconv.FormatFloat(v, 'f', 0, 64) }
			speedAge := "none"
			if c.MeasuredAgeMS >= 0 {
				speedAge = fmt.Sprint(c.MeasuredAgeMS)
			}
			rows = append(rows, []string{
				c.Upstream, s.Shard, choice, number(c.Score), number(c.FirstTokenMS), number(c.EndMS), number(c.AddedDelayMS), fmt.Sprint(c.Running),
				fmt.Sprint(c.Foreign), fmt.Sprint(c.Slots), fmt.Sprint(c.KeptTokens), fmt.Sprint(c.KeptAgeMS), strconv.FormatFloat(c.FailureRate, 'f', 2, 64), speedAge,
			})
		}
	}
	return rows
}

// explainCommand returns the command that tells where a request would go now, or why one went where
// it did.
func (c *cli) explainCommand() command {
	sub := flaggy.NewSubcommand("explain")
	var q reporter.Question
	var file, id, parts string
	var logs []string
	sub.String(&q.Route, "r", "route", "route of the request")
	sub.String(&q.Organisation, "g", "organisation", "organisation of the caller")
	sub.String(&q.Pool, "p", "pool", "one of the pools of a route that leads to several")
	sub.Int(&q.PromptTokens, "n", "prompt-tokens", "length of the prompt")
	sub.Int(&q.MaxTokens, "m", "max-tokens", "limit of the answer")
	sub.String(&parts, "k", "parts", "parts that the prompt shares with others, as ID:TOKENS,ID:TOKENS")
	sub.Int64((*int64)(&q.TimeoutMS), "d", "timeout-ms", "time until the caller's deadline")
	sub.StringSlice(&q.Excluded, "x", "exclude", "upstreams on which earlier attempts failed")
	sub.String(&file, "f", "file", "JSON file with the request instead of the flags; - for standard input")
	sub.String(&id, "i", "id", "id of a request that has been; its lines are read from --log")
	sub.StringSlice(&logs, "l", "log", "log files of daemons, for --id; - for standard input")
	return command{sub, "tell where a request would go now, and why, without sending it", func(ctx context.Context) (err error) {
		if id != "" {
			return c.explainFromLogs(id, logs)
		}
		if file != "" {
			if q, err = readQuestion(file); err != nil {
				return err
			}
		}
		if q.Parts, err = appendParts(q.Parts, parts); err != nil {
			return err
		}
		if q.Route == "" {
			return fmt.Errorf("%w: --route is missing", errUsage)
		}
		return c.explain(ctx, q)
	}}
}

func (c *cli) explain(ctx context.Context, q reporter.Question) (err error) {
	var e explanation
	err = c.api.Call(ctx, http.MethodPost, "/v1/admin/explain", q, &e)
	var unreachable *url.Error
	switch {
	case errors.As(err, &unreachable):
		// The cause is not wrapped, so that the exit status is that of a failure.
		return fmt.Errorf("%w: %s", errUnreachableDaemon, unreachable.Error())
	case errors.Is(err, requester.ErrInvalid):
		return fmt.Errorf("%w: %s", errUsage, err.Error())
	case err != nil:
		return err
	}
	if c.Format == "table" {
		_, _ = fmt.Fprintf(c.Out, "%s\n%s\n\n", e.Outcome, e.summary())
	}
	return c.print(e)
}

// summary returns what the daemon knew of the request in a line.
func (e explanation) summary() string {
	text := fmt.Sprintf("asked %s (%s), revision %d: route %s, pool %s, tier %d, deadline %d ms", e.Daemon, e.Region, e.Revision, e.Route, e.Pool, e.Tier, e.DeadlineMS)
	if e.ObjectiveMS > 0 {
		text += fmt.Sprintf(", objective %d ms", e.ObjectiveMS)
	}
	if len(e.Homes) > 0 {
		text += ", homes " + strings.Join(e.Homes, " ")
	}
	if e.RetryMS > 0 {
		text += fmt.Sprintf(", may come back after %d ms", e.RetryMS)
	}
	return text
}

// appendParts appends parts of the form ID:TOKENS, separated by commas.
func appendParts(list []reporter.Part, text string) ([]reporter.Part, error) {
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		id, length, _ := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(length)
		if err != nil || id == "" || tokens < 0 {
			return nil, fmt.Errorf("%w: --parts must be ID:TOKENS, separated by commas, got %q", errUsage, part)
		}
		list = append(list, reporter.Part{ID: id, Tokens: tokens})
	}
	return list, nil
}

func readQuestion(name string) (q reporter.Question, err error) {
	in, err := open(name)
	if err != nil {
		return q, fmt.Errorf("%w: %s", errUsage, err.Error())
	}
	defer func() { _ = in.Close() }()
	decoder := json.NewDecoder(in)
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(&q); err != nil {
		return q, fmt.Errorf("%w: %s: %s", errUsage, name, err.Error())
	}
	return q, nil
}

func open(name string) (in io.ReadCloser, err error) {
	if name == "-" {
		return io.NopCloser(os.Stdin), nil
	}
	return os.Open(name)
}

// logLines are the log lines of one request.
type logLines []map[string]any

// Header implements printer.Tabular.
func (logLines) Header() []string { return []string{"TIME", "LINE", "WHAT"} }

// Rows implements printer.Tabular.
func (l logLines) Rows() (rows [][]string) {
	for _, line := range l {
		var fields []string
		for key, value := range line {
			if !slices.Contains([]string{"time", "msg", "level", "program", "request_id"}, key) && value != "" {
				fields = append(fields, fmt.Sprintf("%s=%v", key, value))
			}
		}
		slices.Sort(fields)
		rows = append(rows, []string{fmt.Sprint(line["time"]), fmt.Sprint(line["msg"]), strings.Join(fields, " ")})
	}
	return rows
}

// maxLogLineBytes bounds a line of a log.
const maxLogLineBytes = 1 << 20

// explainFromLogs prints the lines of a request, with the terms on which its upstream was chosen.
func (c *cli) explainFromLogs(id string, names []string) (err error) {
	if len(names) == 0 {
		return fmt.Errorf("%w: --id needs --log", errUsage)
	}
	var lines logLines
	for _, name := range names {
		in, err := open(name)
		if err != nil {
			return fmt.Errorf("%w: %s", errUsage, err.Error())
		}
		lines, err = appendLines(lines, in, id)
		_ = in.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("%w: no line of %s names request %q", errUsage, strings.Join(names, ", "), id)
	}
	slices.SortStableFunc(lines, func(a, b map[string]any) int { return strings.Compare(fmt.Sprint(a["time"]), fmt.Sprint(b["time"])) })
	return c.print(lines)
}

// appendLines appends the JSON lines that name a request.
func appendLines(lines logLines, in io.Reader, id string) (logLines, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		var line map[string]any
		if json.Unmarshal([]byte(text[start:]), &line) == nil && line["request_id"] == id {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}
