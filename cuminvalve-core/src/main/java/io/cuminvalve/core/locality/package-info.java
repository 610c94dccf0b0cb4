/** Whether requests leave their data centre. */
package io.cuminvalve.core.locality;
