// Package balance chooses the backend server for each request of one service.
package balance
