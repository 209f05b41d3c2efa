/** The calls of operators: changes with their audit entry, and status. */
package org.bronzelug.daemon.operator;
