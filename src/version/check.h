/**
 * @file check.h
 * Checks of a document that span more than one object.
 */
#ifndef VERSION_CHECK_H
#define VERSION_CHECK_H

#include "version/document.h"

/** Checks references between objects and rules between their fields. */
bool check_document(const document_t *document, err_t *err);

#endif
