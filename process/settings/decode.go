package settings

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// decodeError converts an error of the TOML decoder to an *Error.
func decodeError(file string, data []byte, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		result := &Error{File: file}
		for i := range unknownKeys.Errors {
			result.Problems = append(result.Problems, decodeProblem(data, &unknownKeys.Errors[i], "no such key"))
		}
		return result
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return &Error{File: file, Problems: []Problem{decodeProblem(data, decodeErr, decodeErr.Error())}}
	}
	return errors.Wrap(err, file)
}

func decodeProblem(data []byte, e *toml.DecodeError, allowed string) Problem {
	line, _ := e.Position()
	return Problem{
		Line: line, Key: strings.Join(e.Key(), "."), Value: valueAt(data, line), Allowed: allowed,
	}
}

// valueAt returns the text after the equals sign of a line, or the whole line if there
// is no such sign. Lines are counted from 1.
func valueAt(data []byte, line int) string {
	lines := strings.Split(string(data), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	_, value, found := strings.Cut(lines[line-1], "=")
	if !found {
		return strings.TrimSpace(lines[line-1])
	}
	return strings.TrimSpace(value)
}
