package measurer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// registerFunction matches the functions whose first argument is the name of a metric.
var registerFunction = regexp.MustCompile(`^(GetOrRegister\w*|Counter|Gauge|Latency|Computed)$`)

// metricName matches the name of a metric.
var metricName = regexp.MustCompile(`^[a-z][a-z_.]+$`)

// TestMetricsPageNamesEachMetric checks that docs/METRICS.md names each metric that the source of
// any package registers.
func TestMetricsPageNamesEachMetric(t *testing.T) {
	text, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	names := sourceNames(t, "..")
	for name := range defaultDescriptions {
		names[name] = "meanings.go"
	}
	assert.Assert(t, len(names) > len(defaultDescriptions))
	for name, file := range names {
		assert.Assert(t, strings.Contains(string(text), "`"+name+"`"), "docs/METRICS.md does not explain %s of %s", name, file)
	}
}

// sourceNames returns the names of the metrics that are registered under literal names in the
// source below root, with the files. It skips tests.
func sourceNames(t *testing.T, root string) map[string]string {
	t.Helper()
	names := map[string]string{}
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if name := registeredName(n); name != "" {
				names[name] = path
			}
			return true
		})
		return nil
	})
	assert.NilError(t, err)
	return names
}

// registeredName returns the name of the metric that a call registers, or an empty text if the node
// is no such call.
func registeredName(n ast.Node) string {
	call, isCall := n.(*ast.CallExpr)
	if !isCall || len(call.Args) < 2 {
		return ""
	}
	selector, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector || !registerFunction.MatchString(selector.Sel.Name) {
		return ""
	}
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return ""
	}
	name, err := strconv.Unquote(literal.Value)
	if err != nil || !metricName.MatchString(name) {
		return ""
	}
	return name
}
