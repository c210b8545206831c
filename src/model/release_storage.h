// Frees the storage of long-lived strings.
#ifndef POSTSPREAD_MODEL_RELEASE_STORAGE_H_
#define POSTSPREAD_MODEL_RELEASE_STORAGE_H_

#include <string>

namespace postspread {

// Empties `text` and frees its storage. `clear()`, and the assignment of `{}` or of any short string, keep
// it.
inline void ReleaseStorage(std::string& text) { std::string().swap(text); }

}  // namespace postspread

#endif  // POSTSPREAD_MODEL_RELEASE_STORAGE_H_
