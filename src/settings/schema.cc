#include "settings/schema.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace valvekeel::settings {

std::string Describe(const SettingError& error) {
  const std::string location =
      error.line == 0 ? error.file : absl::StrCat(error.file, ":", error.line);
  return absl::StrCat(location, ": ", error.key, error.key.empty() ? "" : ": ", error.reason);
}

void Schema::Integer(std::string key, std::string unit, std::string description, std::int64_t min,
                     std::int64_t max, std::int64_t default_value,
                     std::function<void(std::int64_t)> assign) {
  auto apply = [=,
                assign = std::move(assign)](const toml::node& node) -> std::optional<std::string> {
    const auto* value = node.as_integer();
    if (value == nullptr) {
      return "is not an integer";
    }
    if (value->get() < min || value->get() > max) {
      return absl::StrCat(value->get(), " is outside ", min, " to ", max);
    }
    assign(value->get());
    return std::nullopt;
  };
  settings_.push_back({std::move(key), std::move(unit), absl::StrCat(default_value),
                       std::move(description), false, std::move(apply)});
}

void Schema::Real(std::string key, std::string unit, std::string description, double min,
                  double max, double default_value, std::function<void(double)> assign) {
  auto apply = [=,
                assign = std::move(assign)](const toml::node& node) -> std::optional<std::string> {
    const auto value = node.value<double>();
    if (!node.is_number() || !value) {
      return "is not a number";
    }
    if (*value < min || *value > max) {
      return absl::StrCat(*value, " is outside ", min, " to ", max);
    }
    assign(*value);
    return std::nullopt;
  };
  settings_.push_back({std::move(key), std::move(unit), absl::StrCat(default_value),
                       std::move(description), false, std::move(apply)});
}

void Schema::Text(std::string key, std::string description, std::string default_value,
                  bool required, std::function<void(const std::string&)> assign) {
  auto apply = [required,
                assign = std::move(assign)](const toml::node& node) -> std::optional<std::string> {
    const auto* value = node.as_string();
    if (value == nullptr) {
      return "is not a text";
    }
    if (required && value->get().empty()) {
      return "is empty";
    }
    assign(value->get());
    return std::nullopt;
  };
  settings_.push_back({std::move(key), "text", std::move(default_value), std::move(description),
                       required, std::move(apply)});
}

void Schema::Choice(std::string key, std::string description, std::vector<std::string> choices,
                    std::string default_value, std::function<void(const std::string&)> assign) {
  std::string unit = absl::StrCat("one of ", absl::StrJoin(choices, ", "));
  auto apply = [choices = std::move(choices),
                assign = std::move(assign)](const toml::node& node) -> std::optional<std::string> {
    const auto* value = node.as_string();
    const bool known = value != nullptr &&
                       std::find(choices.begin(), choices.end(), value->get()) != choices.end();
    if (!known) {
      return absl::StrCat("is not one of ", absl::StrJoin(choices, ", "));
    }
    assign(value->get());
    return std::nullopt;
  };
  settings_.push_back({std::move(key), std::move(unit), std::move(default_value),
                       std::move(description), false, std::move(apply)});
}

void Schema::TextList(std::string key, std::string description,
                      std::function<void(const std::vector<std::string>&)> assign) {
  auto apply = [assign = std::move(assign)](const toml::node& node) -> std::optional<std::string> {
    const auto* list = node.as_array();
    if (list == nullptr) {
      return "is not a list of texts";
    }
    std::vector<std::string> texts;
    for (const toml::node& item : *list) {
      const auto* text = item.as_string();
      if (text == nullptr) {
        return "is not a list of texts";
      }
      texts.push_back(text->get());
    }
    assign(texts);
    return std::nullopt;
  };
  settings_.push_back(
      {std::move(key), "list of texts", "[]", std::move(description), false, std::move(apply)});
}

const Setting* Schema::Find(const std::string& key) const {
  const auto found = std::find_if(settings_.begin(), settings_.end(),
                                  [&](const Setting& setting) { return setting.key == key; });
  return found == settings_.end() ? nullptr : &*found;
}

void Schema::ApplyTable(const std::string& file, const toml::table& table,
                        const std::string& prefix, std::vector<std::string>& given_keys,
                        std::vector<SettingError>& errors) const {
  for (const auto& [name, node] : table) {
    const std::string key = prefix.empty() ? std::string(name.str())
                                           : absl::StrCat(prefix, ".", std::string(name.str()));
    const std::uint32_t line = node.source().begin.line;
    const Setting* setting = Find(key);
    if (setting == nullptr && node.is_table()) {
      ApplyTable(file, *node.as_table(), key, given_keys, errors);
      continue;
    }
    if (setting == nullptr) {
      errors.push_back({file, line, key, "is not a known setting"});
      continue;
    }
    given_keys.push_back(key);
    if (const auto reason = setting->apply(node)) {
      errors.push_back({file, line, key, *reason});
    }
  }
}

std::vector<SettingError> Schema::Load(const std::string& path,
                                       const std::vector<std::string>& overrides) const {
  std::vector<SettingError> errors;
  std::vector<std::string> given_keys;
  if (!path.empty()) {
    try {
      const toml::table table = toml::parse_file(path);
      ApplyTable(path, table, "", given_keys, errors);
    } catch (const toml::parse_error& error) {
      return {{path, error.source().begin.line, "", std::string(error.description())}};
    }
  }
  for (const std::string& text : overrides) {
    const std::vector<std::string> parts = absl::StrSplit(text, absl::MaxSplits('=', 1));
    const std::string location = absl::StrCat("--set ", text);
    if (parts.size() != 2) {
      errors.push_back({location, 0, "", "is not section.name=value"});
      continue;
    }
    const std::string quoted_assignment = absl::StrCat(parts[0], " = '", parts[1], "'");
    const std::string bare_assignment = absl::StrCat(parts[0], " = ", parts[1]);
    const Setting* setting = Find(parts[0]);
    const bool is_text =
        setting != nullptr && (setting->unit == "text" || setting->unit.rfind("one of", 0) == 0);
    try {
      const toml::table table =
          toml::parse(is_text ? quoted_assignment : bare_assignment, location);
      ApplyTable(location, table, "", given_keys, errors);
    } catch (const toml::parse_error& error) {
      errors.push_back({location, 0, parts[0], std::string(error.description())});
    }
  }
  for (const Setting& setting : settings_) {
    const bool given =
        std::find(given_keys.begin(), given_keys.end(), setting.key) != given_keys.end();
    if (setting.required && !given) {
      errors.push_back({path.empty() ? "settings" : path, 0, setting.key, "is missing"});
    }
  }
  return errors;
}

std::string Schema::Markdown() const {
  std::string out = "| setting | unit | default | meaning |\n| --- | --- | --- | --- |\n";
  for (const Setting& setting : settings_) {
    absl::StrAppend(&out, "| `", setting.key, "` | ", setting.unit, " | ",
                    setting.required ? "required" : setting.default_value, " | ",
                    setting.description, " |\n");
  }
  return out;
}

}  // namespace valvekeel::settings
