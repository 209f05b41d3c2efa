/**
 * Decision logic without I/O or threads. Time is passed as a parameter, so tests run on a virtual
 * clock.
 */
package org.bronzelug.core;
