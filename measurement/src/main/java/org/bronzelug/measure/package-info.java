/** Measures the shipped decisions over virtual time, and the slopes that capacity is planned by. */
package org.bronzelug.measure;
