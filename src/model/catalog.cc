#include "model/catalog.h"

namespace valvekeel::model {

const char* EntryDefectName(EntryDefect defect) {
  switch (defect) {
    case EntryDefect::kMissingField:
      return "missing_field";
    case EntryDefect::kWrongType:
      return "wrong_type";
    case EntryDefect::kOutOfRange:
      return "out_of_range";
    case EntryDefect::kUnknownWord:
      return "unknown_word";
    case EntryDefect::kBadAddress:
      return "bad_address";
    case EntryDefect::kBadText:
      return "bad_text";
  }
  return "unknown";
}

}  // namespace valvekeel::model
