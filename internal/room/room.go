package room

type Config struct{}
type Planner struct{}
