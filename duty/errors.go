package duty

import "github.com/rotisserie/eris"

var errSilent = eris.New("duty: the member did not answer")
