package httpwire

import (
	"bytes"
	"strings"
	"testing"
)

// TestBytesOfText checks each byte at each place of a line.
func TestBytesOfText(t *testing.T) {
	const lineBytes = 19
	const separators = "\"(),/:;<=>?@[\\]{}"
	for b := range 256 {
		for place := range lineBytes {
			line := bytes.Repeat([]byte("a"), lineBytes)
			line[place] = byte(b)
			if want := b == '\t' || b >= ' ' && b != 0x7f; IsText(line) != want {
				t.Errorf("%q is text: %v", line, !want)
			}
			if want := b > ' ' && b < 0x7f && !strings.Contains(separators, string(rune(b))); IsToken(line) != want {
				t.Errorf("%q is a token: %v", line, !want)
			}
		}
	}
	if !IsText(nil) || IsToken(nil) {
		t.Error("an empty line is text and no token")
	}
}
