package duty

import "github.com/rotisserie/eris"

var errNoAnswer = eris.New("duty: member did not answer in time")
