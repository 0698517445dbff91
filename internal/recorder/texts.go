package recorder

// Texts returns names as the texts of a field.
func Texts[N ~string](names []N) []string {
	texts := make([]string, 0, len(names))
	for _, n := range names {
		texts = append(texts, string(n))
	}
	return texts
}
