/** Orders to runners. */
package org.bronzelug.router.order;
