package administrator_test

import (
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/gorilla/mux"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/administrator"
	"yuccaspread/daemon/configurer"
)

// openAPILines returns the lines of the OpenAPI description.
func openAPILines(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile("../../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(string(content), "\n")
}

// TestOpenAPIDescribesExactlyTheRoutes fails if a route is registered but not described
// in docs/openapi.yaml, or the reverse.
func TestOpenAPIDescribesExactlyTheRoutes(t *testing.T) {
	registered := map[string]bool{}
	router := mux.NewRouter()
	(&administrator.Administrator{}).Register(router)
	err := router.Walk(func(route *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		methods, err := route.GetMethods()
		if err != nil {
			return nil //nolint:nilerr // The prefix of the subrouter has no methods.
		}
		path, err := route.GetPathTemplate()
		for _, method := range methods {
			registered[strings.ToLower(method)+" "+path] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	path := ""
	for _, line := range openAPILines(t) {
		if strings.HasPrefix(line, "  /") {
			path = strings.TrimSuffix(strings.TrimSpace(line), ":")
		}
		if line == "    get:" || line == "    post:" {
			documented[strings.TrimSuffix(strings.TrimSpace(line), ":")+" "+path] = true
		}
	}
	if len(registered) == 0 || !maps.Equal(registered, documented) {
		t.Errorf("registered %v, described %v", slices.Sorted(maps.Keys(registered)), slices.Sorted(maps.Keys(documented)))
	}
}

// schemaFields returns the direct properties of a schema of the OpenAPI
// description, sorted.
func schemaFields(t *testing.T, name string) (fields []string) {
	t.Helper()
	property := regexp.MustCompile(`^        ([a-z0-9_]+):`)
	inside := false
	for _, line := range openAPILines(t) {
		if regexp.MustCompile(`^    \S`).MatchString(line) {
			inside = line == "    "+name+":"
		}
		if match := property.FindStringSubmatch(line); inside && match != nil {
			fields = append(fields, match[1])
		}
	}
	slices.Sort(fields)
	return fields
}

// jsonTags returns the JSON names of the fields of a struct, sorted.
func jsonTags(value any) (fields []string) {
	kind := reflect.TypeOf(value)
	for i := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		if name != "" {
			fields = append(fields, name)
		}
	}
	slices.Sort(fields)
	return fields
}

// TestOpenAPIDescribesExactlyTheFields fails if the fields of a reply or change in the
// code differ from its schema in docs/openapi.yaml.
func TestOpenAPIDescribesExactlyTheFields(t *testing.T) {
	delta := append(jsonTags(inventory.Delta{}), "revision")
	slices.Sort(delta)
	for name, want := range map[string][]string{
		"Status":     jsonTags(configurer.Status{}),
		"AuditEntry": jsonTags(configurer.AuditEntry{}),
		"Config":     jsonTags(inventory.Config{}),
		"Key":        jsonTags(inventory.Key{}),
		"Delta":      delta,
	} {
		if got := schemaFields(t, name); !slices.Equal(got, want) {
			t.Errorf("%s: described %v, in the code %v", name, got, want)
		}
	}
}
