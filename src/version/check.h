/**
 * @file check.h
 * Checks of a document that concern more than one field.
 */
#ifndef VERSION_CHECK_H
#define VERSION_CHECK_H

#include "version/document.h"

/**
 * Checks that each name refers to an object of the document, and the rules
 * between the fields of an object.
 * @return true if the document is valid; else false, with the path of the
 *         offending value in @p err
 */
bool check_document(const document_t *document, err_t *err);

#endif
