package manual

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const root = "../.."

func pages(t *testing.T) []Page {
	t.Helper()
	all, err := Read(root)
	require.NoError(t, err)
	return all
}

// TestLinksResolve checks that each link leads to an existing file and heading.
func TestLinksResolve(t *testing.T) {
	all := pages(t)
	byPath := make(map[string]Page, len(all))
	for _, p := range all {
		byPath[filepath.Clean(p.Path)] = p
	}
	for _, p := range all {
		for _, link := range p.Links() {
			target, anchor, _ := strings.Cut(link, "#")
			path := filepath.Clean(p.Path)
			if target != "" {
				path = filepath.Join(filepath.Dir(p.Path), target)
			}
			_, err := os.Stat(filepath.Join(root, path))
			assert.NoError(t, err, "%s links to %s", p.Path, link)
			if anchor != "" {
				_, ok := byPath[path].Anchors()[anchor]
				assert.True(t, ok, "%s links to %s", p.Path, link)
			}
		}
	}
}

var functionPattern = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz|Example)\w*)\(`)

// testFunctions returns the names of tests, benchmarks, fuzz targets and
// examples by directory.
func testFunctions(t *testing.T) map[string][]string {
	t.Helper()
	found := make(map[string][]string)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range functionPattern.FindAllStringSubmatch(string(text), -1) {
			dir := filepath.Dir(path)
			found[dir] = append(found[dir], m[1])
		}
		return err
	})
	require.NoError(t, err)
	return found
}

var namePattern = regexp.MustCompile(`^(?:Test|Benchmark|Fuzz)[A-Z]\w*$`)

// TestNamedTestsExist checks that each test named on a page exists.
func TestNamedTestsExist(t *testing.T) {
	known := make(map[string]struct{})
	for _, names := range testFunctions(t) {
		for _, name := range names {
			known[name] = struct{}{}
		}
	}
	named := 0
	for _, p := range pages(t) {
		for _, span := range p.CodeSpans() {
			if namePattern.MatchString(span) {
				named++
				_, ok := known[span]
				assert.True(t, ok, "%s names %s", p.Path, span)
			}
		}
	}
	assert.NotZero(t, named)
}

var optionPattern = regexp.MustCompile(`-(run|bench|fuzz) +('[^']*'|"[^"]*"|\S+)`)

// matchesNothing reports whether pattern is an argument of -run that matches no
// test, as used to run benchmarks only.
func matchesNothing(pattern string) bool {
	return slices.Contains([]string{"xxx", "XXX", "-", "^$"}, pattern)
}

// TestTestCommandsFindTheirTests checks the go test commands of the pages: each
// alternative of a pattern must match a function of one of the packages.
func TestTestCommandsFindTheirTests(t *testing.T) {
	found := testFunctions(t)
	commands := 0
	for _, p := range pages(t) {
		for _, command := range p.Commands("go test") {
			for _, m := range optionPattern.FindAllStringSubmatch(command, -1) {
				pattern := strings.Trim(m[2], `'"`)
				if m[1] == "run" && matchesNothing(pattern) {
					continue
				}
				commands++
				requireMatch(t, p.Path+": "+command, m[1], pattern, functionsInPackages(found, command))
			}
		}
	}
	assert.NotZero(t, commands)
}

// functionsInPackages returns the functions of the packages given in a command.
func functionsInPackages(found map[string][]string, command string) (names []string) {
	for _, word := range strings.Fields(command) {
		path, ok := strings.CutPrefix(word, "./")
		if !ok {
			continue
		}
		prefix, recursive := strings.CutSuffix(path, "...")
		dir := filepath.Join(root, prefix)
		for packageDir, functions := range found {
			if packageDir == dir || recursive && (prefix == "" || strings.HasPrefix(packageDir, dir+"/")) {
				names = append(names, functions...)
			}
		}
	}
	return names
}

// requireMatch checks that each alternative of pattern matches one of names of
// the kind that option selects.
func requireMatch(t *testing.T, command, option, pattern string, names []string) {
	t.Helper()
	kind := map[string]string{"run": "Test", "bench": "Benchmark", "fuzz": "Fuzz"}[option]
	for _, part := range strings.Split(pattern, "|") {
		first, _, _ := strings.Cut(part, "/")
		expression, err := regexp.Compile(first)
		if !assert.NoError(t, err, command) {
			continue
		}
		matched := false
		for _, name := range names {
			matched = matched || strings.HasPrefix(name, kind) && expression.MatchString(name)
		}
		assert.True(t, matched, "%s: %q matches nothing", command, part)
	}
}

// TestReadingOfPages checks the links, anchors, code spans and commands parsed
// from a page.
func TestReadingOfPages(t *testing.T) {
	p := Page{Text: "# A `b`, c\n[x](y.md#z) [w](https://example.org)\n" +
		"`go test\n-run 'A\\|B' ./c` and `TestC`\n```\n[n](no.md)\n$ go test \\\n  -run D ./e\n```\n    go test ./f\n"}
	assert.Equal(t, []string{"y.md#z"}, p.Links())
	assert.Equal(t, map[string]struct{}{"a-b-c": {}}, p.Anchors())
	assert.Contains(t, p.CodeSpans(), "TestC")
	assert.Equal(t, []string{"go test    -run D ./e", "go test ./f", "go test -run 'A|B' ./c"}, p.Commands("go test"))
}
