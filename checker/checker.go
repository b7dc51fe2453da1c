// Package checker decodes and validates tickets, and computes how they change the
// configuration.
package checker

import (
	"bytes"
	"cmp"
	_ "embed" // for ticket-schema.json
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"zinniatide.example/zinniatide"
)

//go:embed ticket-schema.json
var schemaJSON []byte

// MaxTicketSize is the maximum size of a ticket in bytes.
const MaxTicketSize = zinniatide.MaxRequestBody

// Checker validates tickets. It is safe for concurrent use.
type Checker struct {
	schema *jsonschema.Schema
}

// New returns a Checker with the compiled ticket schema.
func New() (*Checker, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		return nil, fmt.Errorf("parse ticket schema: %w", err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("ticket-schema.json", document); err != nil {
		return nil, fmt.Errorf("add ticket schema: %w", err)
	}
	schema, err := compiler.Compile("ticket-schema.json")
	if err != nil {
		return nil, fmt.Errorf("compile ticket schema: %w", err)
	}
	return &Checker{schema: schema}, nil
}

// Decode decodes and validates a ticket and returns it with its digest. The error
// is a *zinniatide.Refusal whose message lists the problems found, separated by
// semicolons.
func (c *Checker) Decode(raw []byte) (*zinniatide.Ticket, Digest, error) {
	if len(raw) > MaxTicketSize {
		return nil, Digest{}, zinniatide.Refuse(zinniatide.CodeTooLarge, "ticket has %d bytes, the limit is %d", len(raw), MaxTicketSize)
	}
	if err := checkDuplicateKeys(raw); err != nil {
		return nil, Digest{}, badRequest([]string{err.Error()})
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, Digest{}, badRequest([]string{err.Error()})
	}
	problems := c.schemaProblems(document)
	ticket := &zinniatide.Ticket{}
	if err := json.Unmarshal(raw, ticket); err != nil {
		if len(problems) == 0 {
			problems = append(problems, err.Error())
		}
		return nil, Digest{}, badRequest(problems)
	}
	problems = append(problems, semanticProblems(ticket)...)
	if len(problems) > 0 {
		return nil, Digest{}, badRequest(problems)
	}
	for _, s := range ticket.Services {
		if s != nil {
			// The order of versions has no meaning, so a different order is no
			// change.
			slices.SortFunc(s.Versions, func(a, b zinniatide.IndexVersionSetting) int { return cmp.Compare(a.Version, b.Version) })
		}
	}
	digest, err := digestOf(document)
	if err != nil {
		return nil, Digest{}, badRequest([]string{err.Error()})
	}
	return ticket, digest, nil
}

// badRequest returns a refusal that lists problems.
func badRequest(problems []string) error {
	return zinniatide.Refuse(zinniatide.CodeBadRequest, "%s", strings.Join(problems, "; "))
}

// schemaProblems returns one problem for each violation of the schema.
func (c *Checker) schemaProblems(document any) []string {
	err := c.schema.Validate(document)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return []string{err.Error()}
	}
	problems := appendLeafErrors(invalid, nil)
	slices.Sort(problems)
	return slices.Compact(problems)
}

// appendLeafErrors appends the innermost causes of e to out, each with its
// location in the ticket.
func appendLeafErrors(e *jsonschema.ValidationError, out []string) []string {
	if len(e.Causes) == 0 {
		printer := message.NewPrinter(language.English)
		return append(out, "at "+formatLocation(e.InstanceLocation)+": "+e.ErrorKind.LocalizedString(printer))
	}
	causes := e.Causes
	if _, anyOf := e.ErrorKind.(*kind.AnyOf); anyOf && len(causes) > 1 {
		// An entity is null or an object, and null is the first alternative. Omit
		// its error, which only says that the value is not null.
		causes = causes[1:]
	}
	for _, cause := range causes {
		out = appendLeafErrors(cause, out)
	}
	return out
}

func formatLocation(location []string) string {
	if len(location) == 0 {
		return "the top level"
	}
	return strings.Join(location, ".")
}

// checkDuplicateKeys returns an error if an object contains a key twice, because
// JSON decoders differ in which of the values they use.
func checkDuplicateKeys(raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	return checkDuplicateKeysIn(decoder, "", 0)
}

// maxNesting is the deepest nesting of a ticket in levels. Valid tickets have fewer.
const maxNesting = 32

// checkDuplicateKeysIn checks the next value of decoder, which is at path and
// inside depth arrays and objects.
func checkDuplicateKeysIn(decoder *json.Decoder, path string, depth int) error {
	if depth > maxNesting {
		return fmt.Errorf("at %s: nesting is deeper than %d levels", path, maxNesting)
	}
	token, err := decoder.Token()
	if err != nil {
		return fmt.Errorf("ticket is not JSON: %w", err)
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	keys := map[string]bool{}
	for decoder.More() {
		valuePath := path
		if delim == '{' {
			token, err := decoder.Token()
			if err != nil {
				return fmt.Errorf("ticket is not JSON: %w", err)
			}
			key, _ := token.(string)
			valuePath = strings.TrimPrefix(path+"."+key, ".")
			if keys[key] {
				return fmt.Errorf("at %s: key appears twice", valuePath)
			}
			keys[key] = true
		}
		if err := checkDuplicateKeysIn(decoder, valuePath, depth+1); err != nil {
			return err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return fmt.Errorf("ticket is not JSON: %w", err)
	}
	return nil
}
