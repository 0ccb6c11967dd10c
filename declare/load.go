package declare

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// File is a file of a declarations folder.
type File struct {
	Name    string
	Content []byte
}

// Folder is a declarations folder that passed all checks.
type Folder struct {
	// Files are the ".json" files, ordered by name.
	Files  []File
	Config *Config
}

const (
	fileExtension          = ".json"
	allowedReadable        = "a readable file"
	allowedFolder          = "a readable folder"
	allowedFolderWithFiles = "a folder with at least one .json file"
	allowedUniqueFile      = "one file of each name"
	fileNameField          = "(name)"
)

// LoadFolder reads and checks all ".json" files of a folder. It ignores other
// files and subfolders. The error is a ValidationErrors with every error.
func LoadFolder(dir string) (*Folder, error) {
	files, errs := readFolder(dir)
	if len(errs) > 0 {
		return nil, errs
	}
	config, err := Parse(files)
	if err != nil {
		return nil, err
	}
	return &Folder{Files: files, Config: config}, nil
}

func readFolder(dir string) ([]File, ValidationErrors) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, ValidationErrors{unreadableError(dir, err, allowedFolder)}
	}
	var files []File
	var errs ValidationErrors
	for _, entry := range list {
		if entry.IsDir() || !strings.HasSuffix(entry.Name(), fileExtension) {
			continue
		}
		content, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			errs = append(errs, unreadableError(entry.Name(), err, allowedReadable))
			continue
		}
		files = append(files, File{Name: entry.Name(), Content: content})
	}
	if len(files) == 0 && len(errs) == 0 {
		errs = append(errs, &FieldError{
			Kind: ErrMissing, File: dir, Field: topLevel, Value: emptyValueText, Allowed: allowedFolderWithFiles,
		})
	}
	return files, errs
}

func unreadableError(file string, err error, allowed string) *FieldError {
	return &FieldError{Kind: ErrUnreadable, File: file, Field: topLevel, Value: err.Error(), Allowed: allowed}
}

// Parse merges the files in the order of their names and validates the result.
// The error is a ValidationErrors with every error. The checks that compare
// declarations run only if all files could be decoded, because a field that was
// not decoded would cause further errors.
func Parse(files []File) (*Config, error) {
	files = slices.Clone(files)
	slices.SortStableFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	config := &Config{}
	var errs ValidationErrors
	var origins origins
	for i, f := range files {
		if i > 0 && files[i-1].Name == f.Name {
			errs = append(errs, &FieldError{
				Kind: ErrDuplicate, File: f.Name, Field: fileNameField, Value: formatValue(f.Name), Allowed: allowedUniqueFile,
			})
		}
		origins.startFile(f.Name, config)
		errs = append(errs, decodeStrict(f.Name, f.Content, config)...)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	setDefaults(config)
	if errs := validate(config, origins); len(errs) > 0 {
		return nil, errs
	}
	return config, nil
}

const (
	defaultWeight        = 1
	defaultRampPerSecond = 0.05
)

func setDefaults(c *Config) {
	for i := range c.Accounts {
		if c.Accounts[i].Weight == 0 {
			c.Accounts[i].Weight = defaultWeight
		}
	}
	for i := range c.Regions {
		if c.Regions[i].RampPerSecond == 0 {
			c.Regions[i].RampPerSecond = defaultRampPerSecond
		}
	}
}
