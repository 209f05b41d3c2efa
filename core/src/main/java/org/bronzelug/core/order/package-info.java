/** Who may order runners to load weights, and which runner is next. */
package org.bronzelug.core.order;
