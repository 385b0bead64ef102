// A settings file in TOML, checked key by key.
//
// Owns: the descriptions of all keys. Invariant: either every key was read and is in range, or the
// caller gets every fault at once and no settings. Thread: any.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/result.h"

namespace valvekeel::settings {

/// One fault of a settings file.
struct SettingError {
  std::string file;
  std::uint32_t line = 0;  // 0: not from a line, such as a missing key
  std::string key;
  std::string reason;
};

/// @return "file:line: key: reason".
std::string Describe(const SettingError& error);

/// One key: what it means and how it is taken over.
struct Setting {
  std::string key;  // "section.name"
  std::string unit;
  std::string fallback;  // default, as text
  std::string meaning;
  bool required = false;
  /// Takes the value over. @return the reason if it is not acceptable.
  std::function<std::optional<std::string>(const toml::node&)> apply;
};

/// Keys that a program knows.
class Schema {
 public:
  void Integer(std::string key, std::string unit, std::string meaning, std::int64_t lowest,
               std::int64_t highest, std::int64_t fallback,
               std::function<void(std::int64_t)> assign);
  void Real(std::string key, std::string unit, std::string meaning, double lowest, double highest,
            double fallback, std::function<void(double)> assign);
  void Text(std::string key, std::string meaning, std::string fallback, bool required,
            std::function<void(const std::string&)> assign);
  void Choice(std::string key, std::string meaning, std::vector<std::string> choices,
              std::string fallback, std::function<void(const std::string&)> assign);
  void TextList(std::string key, std::string meaning,
                std::function<void(const std::vector<std::string>&)> assign);

  /// Reads a file and then the overrides. @param overrides texts "section.name=value".
  /// @return every fault found; none if all was taken over.
  std::vector<SettingError> Load(const std::string& path,
                                 const std::vector<std::string>& overrides) const;

  /// @return a table in Markdown of all keys, for the operators' pages.
  std::string Markdown() const;

 private:
  void ApplyTable(const std::string& file, const toml::table& table, const std::string& prefix,
                  std::vector<std::string>& seen, std::vector<SettingError>& errors) const;
  const Setting* Find(const std::string& key) const;

  std::vector<Setting> settings_;
};

}  // namespace valvekeel::settings
