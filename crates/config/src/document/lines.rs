//! Line numbers of sections and keys, which the INI library does not keep.

/// Line numbers of sections and their keys, in the order of the file.
#[derive(Debug, Default)]
pub(super) struct LineIndex {
    sections: Vec<SectionLines>,
}

#[derive(Debug, Default)]
struct SectionLines {
    line: usize,
    keys: Vec<usize>,
}

impl LineIndex {
    pub(super) fn new(text: &str) -> Self {
        let mut index = Self::default();
        index.sections.push(SectionLines {
            line: 1,
            keys: Vec::new(),
        });
        for (number, line) in text.lines().enumerate() {
            index.add(number + 1, line.trim());
        }
        index
    }

    fn add(&mut self, number: usize, line: &str) {
        if line.is_empty() || line.starts_with(';') || line.starts_with('#') {
            return;
        }
        if line.starts_with('[') {
            self.sections.push(SectionLines {
                line: number,
                keys: Vec::new(),
            });
        } else if let Some(section) = self.sections.last_mut() {
            section.keys.push(number);
        }
    }

    /// Returns the line of the section at `position`; 0 is the part before the first section.
    pub(super) fn get_section(&self, position: usize) -> usize {
        self.sections
            .get(position)
            .map_or(1, |section| section.line)
    }

    pub(super) fn get_key(&self, position: usize, key: usize) -> usize {
        self.sections
            .get(position)
            .and_then(|section| section.keys.get(key).copied())
            .unwrap_or_else(|| self.get_section(position))
    }
}
