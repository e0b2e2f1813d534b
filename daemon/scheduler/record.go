package scheduler

import (
	"encoding/json"
	"fmt"
)

// RecordedPackage is the name under which the messages of this package are recorded.
const RecordedPackage = "scheduler"

// Kind returns the name of a message's type in records.
//
//nolint:gocyclo // One switch over all messages, one line each.
func Kind(m Message) string {
	switch m.(type) {
	case Ask:
		return "ask"
	case Cancel:
		return "cancel"
	case Confirm:
		return "confirm"
	case FirstToken:
		return "first_token"
	case End:
		return "end"
	case Announce:
		return "announce"
	case DaemonGone:
		return "daemon_gone"
	case Upstreams:
		return "upstreams"
	case Rules:
		return "rules"
	case Load:
		return "load"
	case CacheChange:
		return "cache_change"
	case Health:
		return "health"
	case Notice:
		return "notice"
	case Fleet:
		return "fleet"
	case Shares:
		return "shares"
	case RegionTier:
		return "region_tier"
	default:
		return "tick"
	}
}

// ReplacesEarlier reports whether a message of a kind replaces all earlier ones of that
// kind, so that a recording needs the newest one only.
func ReplacesEarlier(kind string) bool {
	return kind == "upstreams" || kind == "rules" || kind == "shares" || kind == "fleet"
}

// Parse decodes a recorded message of a kind. It returns an error for an unknown
// kind or invalid JSON.
func Parse(kind string, raw []byte) (m Message, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("parse %s: %w", kind, err)
		}
	}()
	parse, known := parsers()[kind]
	if !known {
		return nil, fmt.Errorf("unknown kind %q", kind)
	}
	return parse(raw)
}

// parsers returns the decoder of each kind.
func parsers() map[string]func([]byte) (Message, error) {
	return map[string]func([]byte) (Message, error){
		Kind(Ask{}):         parseAs[Ask],
		Kind(Cancel{}):      parseAs[Cancel],
		Kind(Confirm{}):     parseAs[Confirm],
		Kind(FirstToken{}):  parseAs[FirstToken],
		Kind(End{}):         parseAs[End],
		Kind(Announce{}):    parseAs[Announce],
		Kind(DaemonGone{}):  parseAs[DaemonGone],
		Kind(Upstreams{}):   parseAs[Upstreams],
		Kind(Rules{}):       parseAs[Rules],
		Kind(Load{}):        parseAs[Load],
		Kind(CacheChange{}): parseAs[CacheChange],
		Kind(Health{}):      parseAs[Health],
		Kind(Notice{}):      parseAs[Notice],
		Kind(Fleet{}):       parseAs[Fleet],
		Kind(Shares{}):      parseAs[Shares],
		Kind(RegionTier{}):  parseAs[RegionTier],
		Kind(Tick{}):        parseAs[Tick],
	}
}

func parseAs[M Message](raw []byte) (Message, error) {
	var m M
	err := json.Unmarshal(raw, &m)
	return m, err
}
