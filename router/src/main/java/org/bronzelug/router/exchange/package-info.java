/** One request from its arrival to its last byte: admission, dispatch, repeats, answer. */
package org.bronzelug.router.exchange;
