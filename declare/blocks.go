package declare

// Decode decodes and merges files in the given order and sets defaults, without
// the checks that compare declarations. It is meant for files of an accepted
// configuration, which was validated as a whole when it was published: an entry
// VM decodes only the files that changed, and these alone would not pass the
// checks. The error is a ValidationErrors.
func Decode(files ...File) (*Config, error) {
	config := &Config{}
	for _, f := range files {
		if errs := decodeStrict(f.Name, f.Content, config); len(errs) > 0 {
			return nil, errs
		}
	}
	setDefaults(config)
	return config, nil
}

// HasOnlyBlocks reports whether a configuration declares client blocks and
// nothing else.
func (c *Config) HasOnlyBlocks() bool {
	others := len(c.Accounts) + len(c.Keys) + len(c.Services) + len(c.Routes) + len(c.Regions) + len(c.Links) + len(c.Drains)
	return len(c.Blocks) > 0 && others == 0
}
