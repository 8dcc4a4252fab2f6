//! Settings of entry hosts and the rendering of a settings file.

/// A setting of an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// The name of the section.
    pub section: String,
    /// The key within the section.
    pub key: String,
    /// The value, as written in the file.
    pub value: String,
}

impl Setting {
    /// Creates a setting.
    #[must_use]
    pub fn new(section: &str, key: &str, value: &str) -> Self {
        Self {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
        }
    }
}

/// Renders a settings file. Of several settings with the same section and key, the last one is used.
#[must_use]
pub fn settings_text(settings: &[Setting]) -> String {
    let mut kept: Vec<&Setting> = Vec::new();
    for setting in settings {
        kept.retain(|known| (&known.section, &known.key) != (&setting.section, &setting.key));
        kept.push(setting);
    }
    kept.sort_by(|a, b| a.section.cmp(&b.section));
    let mut text = String::new();
    let mut open = "";
    for Setting {
        section,
        key,
        value,
    } in kept
    {
        if section != open {
            text.push_str(&format!("[{section}]\n"));
            open = section;
        }
        text.push_str(&format!("{key} = {value}\n"));
    }
    text
}
