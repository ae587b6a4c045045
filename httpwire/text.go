package httpwire

// textBytes are the bytes of reason phrases.
var textBytes = textTable()

func textTable() (table [256]bool) {
	for b := range table {
		table[b] = b >= ' ' && b != 0x7f || b == '\t'
	}
	return table
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
