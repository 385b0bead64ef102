// Reads a settings file in TOML and checks every key.
//
// Owns: the descriptions of all keys. Invariant: Load() reports no error only if every given key is
// known and in range and no required key is missing; else it reports all errors at once. Reads the
// file; Load() is thread-safe as far as the assign functions are.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/result.h"

namespace valvekeel::settings {

/// One error in a settings file or an override.
struct SettingError {
  std::string file;
  std::uint32_t line = 0;  // 0 if the error has no line, such as a missing key
  std::string key;
  std::string reason;
};

/// @return "file:line: key: reason".
std::string Describe(const SettingError& error);

/// One setting: its description, and how its value is checked and stored.
struct Setting {
  std::string key;  // "section.name"
  std::string unit;
  std::string default_value;  // as text
  std::string description;
  bool required = false;
  /// Checks and stores a value. @return the reason if the value is invalid.
  std::function<std::optional<std::string>(const toml::node&)> apply;
};

/// The settings that a program supports. Each function that adds one gets `assign`, which stores a
/// valid value.
class Schema {
 public:
  void Integer(std::string key, std::string unit, std::string description, std::int64_t min,
               std::int64_t max, std::int64_t default_value,
               std::function<void(std::int64_t)> assign);
  void Real(std::string key, std::string unit, std::string description, double min, double max,
            double default_value, std::function<void(double)> assign);
  void Text(std::string key, std::string description, std::string default_value, bool required,
            std::function<void(const std::string&)> assign);
  void Choice(std::string key, std::string description, std::vector<std::string> choices,
              std::string default_value, std::function<void(const std::string&)> assign);
  void TextList(std::string key, std::string description,
                std::function<void(const std::vector<std::string>&)> assign);

  /// Reads a file, if the path is not empty, and then the overrides.
  /// @param overrides texts "section.name=value".
  /// @return all errors found; empty if all values are valid and stored.
  std::vector<SettingError> Load(const std::string& path,
                                 const std::vector<std::string>& overrides) const;

  /// @return a table of all settings in Markdown, for the operators' documentation.
  std::string Markdown() const;

 private:
  void ApplyTable(const std::string& file, const toml::table& table, const std::string& prefix,
                  std::vector<std::string>& given_keys, std::vector<SettingError>& errors) const;
  const Setting* Find(const std::string& key) const;

  std::vector<Setting> settings_;
};

}  // namespace valvekeel::settings
