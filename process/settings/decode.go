package settings

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// decodeError turns an error of the TOML decoder into an Error.
func decodeError(file string, data []byte, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		bad := &Error{File: file}
		for i := range unknown.Errors {
			bad.Problems = append(bad.Problems, decodeProblem(data, &unknown.Errors[i], "no such key"))
		}
		return bad
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		return &Error{File: file, Problems: []Problem{decodeProblem(data, wrong, wrong.Error())}}
	}
	return errors.Wrap(err, file)
}

func decodeProblem(data []byte, e *toml.DecodeError, allowed string) Problem {
	row, _ := e.Position()
	return Problem{
		Line: row, Key: strings.Join(e.Key(), "."), Value: valueAt(data, row), Allowed: allowed,
	}
}

// valueAt returns the text behind the equals sign of a line, counted from 1.
func valueAt(data []byte, row int) string {
	lines := strings.Split(string(data), "\n")
	if row < 1 || row > len(lines) {
		return ""
	}
	_, value, found := strings.Cut(lines[row-1], "=")
	if !found {
		return strings.TrimSpace(lines[row-1])
	}
	return strings.TrimSpace(value)
}
