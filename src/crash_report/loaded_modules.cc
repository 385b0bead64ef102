#include "crash_report/loaded_modules.h"

#include <elf.h>
#include <link.h>

#include <algorithm>
#include <cstring>

namespace valvekeel::crash_report {
namespace {

loaded_module describe(const dl_phdr_info& info) {
  loaded_module module;
  module.name = info.dlpi_name;
  module.name.remove_prefix(module.name.rfind('/') + 1);
  module.bias = info.dlpi_addr;
  module.begin = UINTPTR_MAX;
  for (std::size_t i = 0; i < info.dlpi_phnum; ++i) {
    const ElfW(Phdr)& segment = info.dlpi_phdr[i];
    if (segment.p_type == PT_LOAD) {
      const std::uintptr_t begin = info.dlpi_addr + segment.p_vaddr;
      module.begin = std::min(module.begin, begin);
      module.end = std::max(module.end, begin + segment.p_memsz);
    }
  }
  return module;
}

std::string hexadecimal(const unsigned char* bytes, std::size_t count) {
  constexpr const char* DIGITS = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += DIGITS[bytes[i] / 16];
    text += DIGITS[bytes[i] % 16];
  }
  return text;
}

/** @return the build id among the notes of a segment; empty if there is none. */
std::string find_build_id(const char* notes, std::size_t size) {
  constexpr std::size_t ALIGNMENT = 4;
  constexpr std::string_view OWNER("GNU\0", 4);
  const auto padded = [](std::size_t length) {
    return (length + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT;
  };
  std::size_t at = 0;
  while (at + sizeof(ElfW(Nhdr)) <= size) {
    ElfW(Nhdr) header;
    std::memcpy(&header, notes + at, sizeof(header));
    const char* name = notes + at + sizeof(header);
    const char* contents = name + padded(header.n_namesz);
    if (header.n_type == NT_GNU_BUILD_ID && std::string_view(name, header.n_namesz) == OWNER) {
      return hexadecimal(reinterpret_cast<const unsigned char*>(contents), header.n_descsz);
    }
    at += sizeof(header) + padded(header.n_namesz) + padded(header.n_descsz);
  }
  return {};
}

}  // namespace

void loaded_modules::load() {
  this->count = 0;
  ::dl_iterate_phdr(
      [](dl_phdr_info* info, std::size_t, void* self) {
        auto& all = *static_cast<loaded_modules*>(self);
        all.modules[all.count++] = describe(*info);
        return all.count == MAX_MODULES ? 1 : 0;
      },
      this);
}

const loaded_module* loaded_modules::find(std::uintptr_t address) const noexcept {
  for (std::size_t i = 0; i < this->count; ++i) {
    if (address >= this->modules[i].begin && address < this->modules[i].end) {
      return &this->modules[i];
    }
  }
  return nullptr;
}

std::string build_id() {
  std::string id;
  ::dl_iterate_phdr(
      [](dl_phdr_info* info, std::size_t, void* found) {
        for (std::size_t i = 0; i < info->dlpi_phnum; ++i) {
          const ElfW(Phdr)& segment = info->dlpi_phdr[i];
          auto& text = *static_cast<std::string*>(found);
          if (segment.p_type == PT_NOTE && text.empty()) {
            // NOLINTNEXTLINE(performance-no-int-to-ptr): the loader tells addresses as numbers
            const auto* notes = reinterpret_cast<const char*>(info->dlpi_addr + segment.p_vaddr);
            text = find_build_id(notes, segment.p_memsz);
          }
        }
        return 1;  // the executable is the first
      },
      &id);
  return id;
}

}  // namespace valvekeel::crash_report
