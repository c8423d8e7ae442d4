package scenario

import (
	"embed"
	"fmt"
	"io"
	"io/fs"
	"path"
	"strings"
)

//go:embed library
var library embed.FS

// includedFile is the file of the library that scenarios include; it is none itself.
const includedFile = "service.txt"

// Names are the names of the scenarios that come with the program, in order.
func Names() (names []string) {
	files, err := fs.ReadDir(library, "library")
	if err != nil {
		panic(err) // the folder is embedded in the program
	}
	for _, f := range files {
		if f.Name() != includedFile {
			names = append(names, strings.TrimSuffix(f.Name(), path.Ext(f.Name())))
		}
	}
	return names
}

// FromLibrary reads the scenario of a name in Names.
func FromLibrary(name string) (*Scenario, error) {
	f, err := library.Open("library/" + name + ".txt")
	if err != nil || name+".txt" == includedFile {
		return nil, fmt.Errorf("no scenario is called %q; there are %s", name, strings.Join(Names(), ", "))
	}
	defer func() { _ = f.Close() }()
	return parse(name+".txt", f, func(file string) (io.ReadCloser, error) { return library.Open("library/" + file) })
}
