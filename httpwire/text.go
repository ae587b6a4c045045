package httpwire

// tokenBytes and textBytes are the bytes of field names, and of field values and reason phrases.
var tokenBytes, textBytes = tokenTable(), textTable()

func tokenTable() (table [256]bool) {
	for b := '0'; b <= '9'; b++ {
		table[b] = true
	}
	for b := 'a'; b <= 'z'; b++ {
		table[b], table[b-'a'+'A'] = true, true
	}
	for _, b := range "!#$%&'*+-.^_`|~" {
		table[b] = true
	}
	return table
}

func textTable() (table [256]bool) {
	for b := range table {
		table[b] = b >= ' ' && b != 0x7f || b == '\t'
	}
	return table
}

// IsToken reports whether a field name has only the characters that RFC 9110 allows, and at least one.
func IsToken(name []byte) bool { return len(name) > 0 && tokenLength(name) == len(name) }

// tokenLength returns the number of bytes at the start of text that may stand in a field name.
func tokenLength(text []byte) int {
	for i, b := range text {
		if !tokenBytes[b] {
			return i
		}
	}
	return len(text)
}

// IsText reports whether a line has no control character but tabs.
func IsText(line []byte) bool {
	for _, b := range line {
		if !textBytes[b] {
			return false
		}
	}
	return true
}
