package request

// Serves reports whether targets of a region may get the request.
func (i *Info) Serves(region string) bool { return i.Region == "" || i.Region == region }
