/** Decisions without I/O or threads; the time is passed in, so tests run on a virtual clock. */
package org.bronzelug.core;
